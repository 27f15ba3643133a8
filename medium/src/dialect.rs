//! The product's own words to servers and callers: paths with JSON bodies (docs/API.md).
use crate::back::HttpRes;
use serde_json::{json, Map, Value};
use tenet::query::*;
use tenet::session::Answer;
use tenet::wire::SetUp;

fn num(v: &Value, k: &str) -> u64 {
    v.get(k).and_then(|x| x.as_u64()).unwrap_or(0)
}

fn inner(s: &str) -> Value {
    serde_json::from_str(s).unwrap_or(Value::Null)
}

fn reset(conn: u64, s: &SetUp) -> Value {
    let pairs = |v: &[(String, String)]| {
        v.iter()
            .map(|(k, x)| (k.clone(), json!(x)))
            .collect::<Map<_, _>>()
    };
    json!({"conn": conn, "user": s.user, "settings": pairs(&s.settings), "prepared": pairs(&s.prepared)})
}

/// The path and body that carry a query.
pub fn ask(q: &Query) -> (&'static str, Value) {
    match q {
        Query::Connect { user, .. } => ("/connect", json!({ "user": user })),
        Query::Reset { conn, setup, .. } => ("/reset", reset(*conn, setup)),
        Query::Begin { conn, .. } => ("/begin", json!({ "conn": conn })),
        Query::Run {
            conn,
            id,
            writes,
            body,
            ..
        } => (
            "/statement",
            json!({"conn": conn, "id": id, "write": writes, "body": inner(body)}),
        ),
        Query::Commit { conn, id, .. } => ("/commit", json!({"conn": conn, "id": id})),
        Query::Rollback { conn } => ("/rollback", json!({ "conn": conn })),
        Query::Close { conn } => ("/close", json!({ "conn": conn })),
        Query::Outcome { id } => ("/outcome", json!({ "id": id })),
        Query::Position { .. } => ("/log", json!({})),
    }
}

/// A refusal promises that nothing was kept; none for a status that promises nothing.
fn refusal(code: u16) -> Option<Refusal> {
    Some(match code {
        403 => Refusal::NotLeading,
        409 => Refusal::OtherBody,
        410 => Refusal::ConnClosed,
        422 => Refusal::Failed,
        429 | 503 => Refusal::Busy,
        400..=499 => Refusal::Other,
        _ => return None,
    })
}

fn result(v: &Value) -> String {
    v.get("result").map_or("null".into(), |r| r.to_string())
}

/// What a server gave, from the response to the query at `path`.
pub fn got(path: &str, r: HttpRes) -> BackRes {
    let v = match r {
        HttpRes::Ok(v) => v,
        HttpRes::Rejected(c, w) => {
            return refusal(c).map_or(BackRes::Lost, |r| BackRes::Rejected(r, w))
        }
        HttpRes::NotSent => return BackRes::NotSent,
        HttpRes::NotJson | HttpRes::Lost => return BackRes::Lost,
    };
    BackRes::Ok(match path {
        "/connect" if v.get("conn").is_some() => Got::Connected {
            conn: num(&v, "conn"),
        },
        "/connect" => return BackRes::Lost,
        "/reset" | "/close" => Got::Done,
        "/outcome" => Got::Outcome {
            found: (v["found"] == true).then(|| (num(&v, "pos"), result(&v))),
            life: num(&v, "life"),
            leads: v["leads"] == true,
        },
        "/log" => Got::Position(Position {
            life: num(&v, "life"),
            term: 0,
            pos: num(&v, "pos"),
            follows: v["follows"].as_str().unwrap_or("").into(),
            leads: v["leads"] == true,
            link: v["link"] == true,
        }),
        _ => Got::Ran {
            pos: num(&v, "pos"),
            result: result(&v),
            repeat: v["repeat"] == true,
        },
    })
}

/// The body that tells a caller an answer.
pub fn told(a: Answer) -> Value {
    match a {
        Answer::Opened {
            session,
            node,
            region,
        } => json!({"session": session, "node": format!("{node:x}"), "region": region}),
        Answer::Set => json!({"set": true}),
        Answer::Prepared => json!({"prepared": true}),
        Answer::Released => json!({"released": true}),
        Answer::Closed => json!({"closed": true}),
        Answer::Begun => json!({"begun": true}),
        Answer::RolledBack => json!({"rolled_back": true}),
        Answer::Text(v) => v,
        Answer::Ran(r) => {
            let hops: Vec<String> = r.done.hops.iter().map(|h| format!("{h:x}")).collect();
            json!({"id": r.id, "result": inner(&r.done.body), "mark": r.done.pos, "epoch": r.done.epoch, "server": r.done.server,
                "repeat": r.done.repeat, "transaction": r.step, "leaving": r.leaving, "hops": hops, "goes": r.tries})
        }
    }
}
