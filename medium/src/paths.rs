//! Reads requests to the HTTP interface: which path asks for what, with strict bodies.

use serde_json::Value;
use std::collections::BTreeMap;
use tenet::base::Addr;
use tenet::kind::{Kind, Reject};
use tenet::session::{Req, Want};
use tenet::state::Op;

/// What a request asks for.
pub enum Door {
    /// Something of the traffic thread.
    Front(Req),
    /// An order to the control plane, with its id if it may be sent again.
    Ask(Option<u64>, Op),
    /// A server announces itself.
    Announce(Op),
    /// A part of the state, and an argument.
    Show(String, String),
    /// Why a request went where it went; `true` for what this node alone knows.
    Explain(String, bool),
    /// Whether the process takes callers.
    Ready,
}

fn bad(why: impl Into<String>) -> Reject {
    Reject::new(Kind::BadRequest, why)
}

struct Body(BTreeMap<String, Value>);

impl Body {
    fn read(b: &[u8], known: &[&str]) -> Result<Body, Reject> {
        let b = if b.is_empty() { b"{}" } else { b };
        let m: BTreeMap<String, Value> =
            serde_json::from_slice(b).map_err(|e| bad(format!("body: {e}")))?;
        match m.keys().find(|k| !known.contains(&k.as_str())) {
            Some(k) => Err(bad(format!(
                "{k}: unknown field, known are {}",
                known.join(", ")
            ))),
            None => Ok(Body(m)),
        }
    }
    fn opt(&self, k: &str) -> Result<Option<String>, Reject> {
        match self.0.get(k) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(s)) if s.len() <= 256 => Ok(Some(s.clone())),
            Some(Value::String(_)) => Err(bad(format!("{k}: longer than 256 bytes"))),
            Some(_) => Err(bad(format!("{k}: must be a string"))),
        }
    }
    fn text(&self, k: &str) -> Result<String, Reject> {
        self.opt(k)?
            .filter(|s| !s.is_empty())
            .ok_or_else(|| bad(format!("{k}: missing")))
    }
    fn num(&self, k: &str) -> Result<Option<u64>, Reject> {
        match self.0.get(k) {
            None | Some(Value::Null) => Ok(None),
            Some(v) => v
                .as_u64()
                .map(Some)
                .ok_or_else(|| bad(format!("{k}: must be a whole number"))),
        }
    }
    fn flag(&self, k: &str) -> Result<bool, Reject> {
        match self.0.get(k) {
            None | Some(Value::Null) => Ok(false),
            Some(v) => v
                .as_bool()
                .ok_or_else(|| bad(format!("{k}: must be true or false"))),
        }
    }
    fn pairs(&self, k: &str) -> Result<Vec<(String, String)>, Reject> {
        let m = match self.0.get(k) {
            None | Some(Value::Null) => return Ok(Vec::new()),
            Some(v) => v
                .as_object()
                .ok_or_else(|| bad(format!("{k}: must be an object of strings")))?,
        };
        m.iter()
            .map(|(n, v)| {
                v.as_str()
                    .map(|s| (n.clone(), s.into()))
                    .ok_or_else(|| bad(format!("{k}.{n}: must be a string")))
            })
            .collect()
    }
    fn json(&self, k: &str) -> String {
        self.0.get(k).map_or("null".into(), |v| v.to_string())
    }
}

/// Reads a request.
pub fn door(method: &str, path: &str, query: &str, b: &[u8]) -> Result<Door, Reject> {
    let seg: Vec<&str> = path.trim_matches('/').split('/').collect();
    let none = || Reject::new(Kind::NoRoute, format!("{method} {path}"));
    match (method, &seg[..]) {
        ("POST", ["sessions"]) => {
            let m = Body::read(b, &["database", "entry", "user", "tenant", "settings"])?;
            let user = m.opt("user")?.unwrap_or_default();
            if let Some(entry) = m.opt("entry")? {
                return Ok(Door::Front(Req::Enter { entry, user }));
            }
            Ok(Door::Front(Req::Open {
                db: m.text("database")?,
                user,
                tenant: m.opt("tenant")?,
                settings: m.pairs("settings")?,
            }))
        }
        ("DELETE", ["sessions", s]) => Ok(Door::Front(Req::Close {
            session: session(s)?,
        })),
        ("POST", ["sessions", s, what]) => in_session(session(s)?, what, b)
            .and_then(|r| r.ok_or_else(none))
            .map(Door::Front),
        ("POST", ["announce"]) => announce(b),
        ("GET", ["ready"]) => Ok(Door::Ready),
        ("GET", ["figures"]) => Ok(Door::Front(Req::Figures)),
        ("GET", ["explain", id]) => Ok(Door::Explain((*id).into(), query == "here")),
        ("PUT", ["configuration"]) => {
            let m = Body::read(b, &["base", "configuration", "id"])?;
            let base = m.num("base")?.ok_or_else(|| bad("base: missing"))?;
            Ok(Door::Ask(
                m.num("id")?,
                Op::Config {
                    base,
                    text: m.json("configuration"),
                },
            ))
        }
        ("POST", ["domains", d, w @ ("evacuate" | "return")]) => {
            let m = Body::read(b, &["id"])?;
            Ok(Door::Ask(
                m.num("id")?,
                Op::Evacuate {
                    domain: (*d).into(),
                    on: *w == "evacuate",
                },
            ))
        }
        ("POST", ["servers", s, w @ ("drain" | "return")]) => {
            let m = Body::read(b, &["id"])?;
            Ok(Door::Ask(
                m.num("id")?,
                Op::Drain {
                    server: (*s).into(),
                    on: *w == "drain",
                },
            ))
        }
        ("GET", [w @ ("configuration" | "fleet" | "verdicts" | "view")]) => {
            Ok(Door::Show((*w).into(), String::new()))
        }
        ("GET", ["reasons"]) => Ok(Door::Show(
            "reasons".into(),
            query.strip_prefix("topic=").unwrap_or("").into(),
        )),
        _ => Err(none()),
    }
}

fn session(s: &str) -> Result<u64, Reject> {
    s.parse().map_err(|_| Reject::new(Kind::UnknownSession, s))
}

fn in_session(session: u64, what: &str, b: &[u8]) -> Result<Option<Req>, Reject> {
    let r = match what {
        "run" => {
            let m = Body::read(
                b,
                &["kind", "id", "body", "prepared", "args", "deadline_ms"],
            )?;
            let prepared = m.opt("prepared")?;
            let body = m.json(if prepared.is_some() { "args" } else { "body" });
            Req::Run {
                session,
                kind: Want::Kind(m.text("kind")?),
                id: m.opt("id")?,
                body,
                prepared,
                budget: m.num("deadline_ms")?,
            }
        }
        "prepare" => {
            let m = Body::read(b, &["name", "text"])?;
            Req::Prepare {
                session,
                name: m.text("name")?,
                text: m.json("text"),
            }
        }
        "set" => {
            let m = Body::read(b, &["name", "value"])?;
            Req::Set {
                session,
                name: m.text("name")?,
                value: m.opt("value")?.unwrap_or_default(),
            }
        }
        "begin" => {
            let m = Body::read(b, &["kind", "id", "deadline_ms"])?;
            Req::Begin {
                session,
                kind: m.opt("kind")?.map(Want::Kind),
                id: m.opt("id")?,
                lazy: false,
                budget: m.num("deadline_ms")?,
            }
        }
        "commit" => Req::Commit {
            session,
            body: String::new(),
            budget: Body::read(b, &["deadline_ms"])?.num("deadline_ms")?,
        },
        "rollback" => Body::read(b, &[]).map(|_| Req::Rollback { session })?,
        _ => return Ok(None),
    };
    Ok(Some(r))
}

fn announce(b: &[u8]) -> Result<Door, Reject> {
    let m = Body::read(
        b,
        &[
            "server", "addr", "domain", "labels", "life", "leads", "leaving",
        ],
    )?;
    let a: std::net::SocketAddr = m
        .text("addr")?
        .parse()
        .map_err(|_| bad("addr: must be IP:PORT"))?;
    Ok(Door::Announce(Op::Announce {
        server: m.text("server")?,
        addr: Addr::from(a),
        domain: m.text("domain")?,
        labels: m.pairs("labels")?.into_iter().collect(),
        life: m.num("life")?.ok_or_else(|| bad("life: missing"))?,
        leads: m.flag("leads")?,
        leaving: m.flag("leaving")?,
        terms: false,
        seq: 0,
    }))
}
