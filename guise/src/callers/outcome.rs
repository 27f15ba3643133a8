//! What a response tells a caller, and how it enters the history.

use super::{Latency, Site};
use crate::check::{Event, Out};
use crate::lock;
use crate::mix::Class;
use medium::back::HttpRes;
use serde_json::Value;

/// When a request was sent and when it was answered, ms of the fleet's clock.
pub(super) struct Span {
    pub start: u64,
    pub end: u64,
}

/// A request with its response.
pub(super) struct Finished {
    pub kind: String,
    pub id: String,
    pub class: Class,
    pub key: String,
    /// Value that it wrote, if it is a write.
    pub written: i64,
    pub response: HttpRes,
}

impl Finished {
    /// Adds the request to the history; `allowed` are the regions that it may pass through.
    pub fn record(
        self,
        site: &Site,
        caller: u64,
        span: Span,
        out: Out,
        answer: &Value,
        allowed: Vec<String>,
    ) {
        let kept = out == Out::Kept;
        let path = path(site, answer);
        let result = match kept {
            true => "kept".to_string(),
            false => format!("{}/{out:?}", answer["error"].as_str().unwrap_or("")),
        };
        let value = match self.class {
            Class::Write => self.written,
            _ => answer["result"].as_i64().unwrap_or(0),
        };
        let mut history = lock(&site.history);
        let counted = format!("{} {result}", self.kind);
        *history.kinds.entry(counted).or_default() += 1;
        if kept && !path.is_empty() {
            history.hops.push((self.id.clone(), path, allowed));
        }
        history.events.push(Event {
            start: span.start,
            end: span.end,
            session: caller,
            class: self.class,
            id: self.id,
            key: self.key,
            value,
            out,
        });
        drop(history);
        lock(&site.latencies).push(Latency {
            kind: self.kind,
            took: span.end - span.start,
            kept,
        });
    }
}

/// Regions that the request passed through.
fn path(site: &Site, answer: &Value) -> Vec<String> {
    let regions = lock(&site.regions);
    let hops = answer["hops"].as_array().into_iter().flatten();
    hops.filter_map(|node| node.as_str())
        .filter_map(|node| regions.get(node).cloned())
        .collect()
}

/// A transaction that lost its connection before the commit was sent has kept nothing.
pub(super) fn before_commit(response: HttpRes) -> HttpRes {
    match response {
        HttpRes::Lost => HttpRes::NotSent,
        other => other,
    }
}

/// What the caller may conclude from a response, and the response's body.
pub(super) fn outcome(response: &HttpRes) -> (Out, Value) {
    match response {
        HttpRes::Ok(body) => (Out::Kept, body.clone()),
        HttpRes::Rejected(_, text) => {
            let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
            match body["kept"] == "nothing" {
                true => (Out::Nothing, body),
                false => (Out::Unknown, body),
            }
        }
        HttpRes::NotSent => (Out::Nothing, Value::Null),
        HttpRes::NotJson | HttpRes::Lost => (Out::Unknown, Value::Null),
    }
}
