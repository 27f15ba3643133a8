use bpaf::{construct, long, positional, Parser};
use medium::back::Back;
use medium::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;

struct Args {
    node: SocketAddr,
    json: bool,
    about: Option<String>,
    last: Option<u64>,
    id: Option<String>,
}

fn clock(ms: u64) -> String {
    let s = ms / 1000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        s / 3600 % 24,
        s / 60 % 60,
        s % 60,
        ms % 1000
    )
}

fn story(v: &Value, last: Option<u64>) -> Vec<String> {
    let from = last.map_or(0, |m| medium::clock::wall().saturating_sub(m * 60_000));
    let v = v["reasons"].as_array().cloned().unwrap_or_default();
    let at = |r: &Value| r["at"].as_u64().unwrap_or(0);
    let line = |r: &Value| {
        let by = r["mark"]
            .as_u64()
            .filter(|m| *m > 0)
            .map_or("seen here".into(), |m| format!("mark {m}"));
        format!(
            "{}  {by:<10} {}",
            clock(at(r)),
            r["text"].as_str().unwrap_or("")
        )
    };
    v.iter().filter(|r| at(r) >= from).map(line).collect()
}

fn told(v: &Value) -> Vec<String> {
    let mut out = Vec::new();
    for n in v["nodes"].as_array().cloned().unwrap_or_default() {
        out.push(format!("node {}", n["node"].as_str().unwrap_or("?")));
        let steps = n["steps"].as_array().cloned().unwrap_or_default();
        let zero = steps.first().and_then(|s| s["at"].as_u64()).unwrap_or(0);
        for s in steps {
            let at = s["at"].as_u64().unwrap_or(0).saturating_sub(zero);
            out.push(format!(
                "  +{at:>5} ms  {}",
                s["text"].as_str().unwrap_or("")
            ));
        }
    }
    out
}

async fn ask(a: &Args) -> eyre::Result<Value> {
    let b = Back::new(Clock::new())?;
    b.get(a.node, "/view")
        .await
        .ok_or_else(|| eyre::eyre!("no node answers at {}", a.node))?;
    let (path, none) = match (&a.id, &a.about) {
        (Some(i), _) => (
            format!("/explain/{i}"),
            format!("no node remembers request '{i}'"),
        ),
        (None, about) => (
            format!("/reasons?topic={}", about.as_deref().unwrap_or("")),
            "no reasons".into(),
        ),
    };
    b.get(a.node, &path).await.ok_or_else(|| eyre::eyre!(none))
}

fn main() {
    let node = long("node")
        .help("Any node's address for callers")
        .argument("IP:PORT");
    let json = long("json")
        .help("Print what the nodes answered, as JSON")
        .switch();
    let about = long("about")
        .help("Tell what happened to a server, database, domain or node, in order")
        .argument("NAME")
        .optional();
    let last = long("last")
        .help("Only the last MINUTES of it")
        .argument("MINUTES")
        .optional();
    let id = positional("REQUEST-ID")
        .help("Id of the request, as the answer gave it; without one, the fleet's reasons")
        .optional();
    let a = construct!(Args { node, json, about, last, id })
        .to_options()
        .descr("motive: explains why a request went where it went, or what happened to a server, database or domain, asked of any node. Exit 0 told, 1 unknown request or no node.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match rt
        .map_err(eyre::Report::from)
        .and_then(|rt| rt.block_on(ask(&a)))
    {
        Ok(v) if a.json => println!("{v}"),
        Ok(v) if a.id.is_none() => story(&v, a.last).iter().for_each(|l| println!("{l}")),
        Ok(v) => told(&v).iter().for_each(|l| println!("{l}")),
        Err(e) => {
            eprintln!("motive: {e}");
            std::process::exit(1);
        }
    }
}
