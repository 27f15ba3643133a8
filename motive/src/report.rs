//! Turns what a node answered into lines of text.

use serde_json::Value;

const MS_PER_MINUTE: u64 = 60_000;

/// Time of day of a time in ms since the epoch.
fn time_of_day(ms: u64) -> String {
    let seconds = ms / 1000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3600 % 24,
        seconds / 60 % 60,
        seconds % 60,
        ms % 1000
    )
}

fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field].as_array().map_or(&[], |list| list)
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or("")
}

fn number(value: &Value, field: &str) -> u64 {
    value[field].as_u64().unwrap_or(0)
}

/// Audit events, oldest first; only those of the last minutes if these are given.
pub fn events(answer: &Value, last_minutes: Option<u64>) -> Vec<String> {
    let since = last_minutes.map_or(0, |minutes| {
        medium::clock::wall().saturating_sub(minutes * MS_PER_MINUTE)
    });
    list(answer, "reasons")
        .iter()
        .filter(|event| number(event, "at") >= since)
        .map(event)
        .collect()
}

fn event(event: &Value) -> String {
    let source = match number(event, "mark") {
        0 => "seen here".to_string(),
        version => format!("mark {version}"),
    };
    format!(
        "{}  {source:<10} {}",
        time_of_day(number(event, "at")),
        text(event, "text")
    )
}

/// The path of a request, node by node; times are from the first step at each node.
pub fn path(answer: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for node in list(answer, "nodes") {
        lines.push(format!("node {}", node["node"].as_str().unwrap_or("?")));
        let steps = list(node, "steps");
        let start = steps.first().map_or(0, |step| number(step, "at"));
        for step in steps {
            let after = number(step, "at").saturating_sub(start);
            lines.push(format!("  +{after:>5} ms  {}", text(step, "text")));
        }
    }
    lines
}
