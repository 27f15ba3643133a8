//! Settings of the daemons: fields of the file, and flags.

use crate::file;
use bpaf::Parser;
use medium::settings::{flags, Place};
use serde_json::{json, Value};
use std::path::Path;

fn fields() -> Value {
    json!({"listen": "10.1.2.3:7440", "http": "10.1.2.3:7442", "domain": "zone-a",
        "seeds": ["10.1.2.3:7440", "10.1.2.4:7440", "10.1.2.5:7440"], "data": "/data/firramp",
        "platform": "10.9.9.9:80"})
}

fn arguments() -> Vec<String> {
    let mut arguments = Vec::new();
    for (field, value) in fields().as_object().unwrap() {
        let values = match value {
            Value::Array(all) => all.clone(),
            one => vec![one.clone()],
        };
        let flag = if field == "seeds" { "seed" } else { field };
        for value in values {
            arguments.push(format!("--{flag}={}", value.as_str().unwrap()));
        }
    }
    arguments
}

fn place(arguments: &[String]) -> Result<Place, String> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let flags = flags().to_options().run_inner(&arguments[..]);
    let place = flags.map_err(|e| format!("{e:?}"))?.place(true);
    place.map_err(|e| format!("{e:#}"))
}

fn told(place: Place) -> Value {
    let Place {
        listen,
        http,
        domain,
        seeds,
        data,
        platform,
        found,
        founders,
        copies,
        grace,
    } = place;
    json!({"listen": listen, "http": http, "domain": domain, "seeds": seeds, "data": data,
        "platform": platform, "may_found": found, "founders": founders, "copies": copies,
        "grace_ms": grace.ms()})
}

fn file_with(name: &str, fields: &Value) -> String {
    let name = format!("golden-{name}-{}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, fields.to_string()).unwrap();
    format!("--settings={}", path.display())
}

#[test]
fn settings_have_the_same_fields_and_flags_as_ever() {
    let mut other = fields();
    other["-"] = json!(1);
    let refused = place(&[file_with("other", &other)]).unwrap_err();
    let (_, known) = refused.split_once("unknown field").unwrap();
    let samples = vec![
        ("fields".into(), fields()),
        (
            "from the file".into(),
            told(place(&[file_with("all", &fields())]).unwrap()),
        ),
        ("from flags".into(), told(place(&arguments()).unwrap())),
        ("flags".into(), json!(arguments())),
        (
            "another field".into(),
            json!(known.split(" at line").next().unwrap().trim()),
        ),
    ];
    file::compare("settings.json", samples);
}
