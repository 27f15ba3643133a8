//! The audit events that a node and the fleet keep, in bounded number, and the answers to questions about the
//! configuration, the fleet, servers and reasons (JSON).

use crate::base::*;
use crate::config::Config;
use crate::control::{Control, Reply};
use crate::kind::{Kind, Reject};
use crate::state::{State, Story};
use crate::table::{db_servers, labels_of, server_off};
use serde_json::{json, Value};
use std::collections::VecDeque;

/// What this node saw for itself.
#[derive(Default)]
pub struct Reasons {
    v: VecDeque<Story>,
}

const KEPT: usize = 2000;

/// Stories that the replicated state keeps.
const STORIES: usize = 600;

impl State {
    /// Keeps an audit event of the fleet.
    pub fn tell(&mut self, at: u64, topic: &str, text: String) {
        self.stories.push(Story {
            mark: self.mark,
            at,
            topic: topic.into(),
            text,
        });
        if self.stories.len() > STORIES {
            self.stories.drain(..STORIES / 4);
        }
    }
}

impl Reasons {
    /// Keeps an event of this node, at its local time.
    pub fn tell(&mut self, now: Time, topic: &str, text: String) {
        self.v.push_back(Story {
            mark: 0,
            at: now,
            topic: topic.into(),
            text,
        });
        if self.v.len() > KEPT {
            self.v.pop_front();
        }
    }
}

fn tale(s: &Story, wall: u64, from: &str) -> Value {
    json!({"at": s.at + wall, "mark": s.mark, "topic": s.topic, "text": s.text, "from": from})
}

impl Control {
    /// Answers a question as JSON; `NoRoute` when there is no such one.
    pub fn show(&self, now: Time, what: &str, arg: &str) -> Reply {
        let v = match what {
            "configuration" => self.show_config(now),
            "origin" => self.show_origin(now),
            "fleet" => self.show_fleet(now),
            "verdicts" => self.show_verdicts(),
            "reasons" => self.show_reasons(arg),
            "warnings" => self.show_warnings(arg),
            "view" => {
                json!({"view": self.f.view.n, "cluster": format!("{:x}", self.f.view.cluster),
                "confirms": self.f.view.confirms(),
                "chain": self.f.view.chain.iter().map(|s| s.addr.to_string()).collect::<Vec<_>>(),
                "voters": self.f.view.voters.iter().map(|s| s.addr.to_string()).collect::<Vec<_>>(),
                "mark": self.f.state.mark, "confirmed": self.f.holds(now)})
            }
            _ => return Reply::Reject(Reject::new(Kind::NoRoute, what)),
        };
        Reply::Text(v.to_string())
    }

    fn show_warnings(&self, text: &str) -> Value {
        let v = Config::parse(text)
            .map(|c| c.warnings(Some(&self.f.state)))
            .unwrap_or_default();
        json!({ "warnings": v })
    }

    /// The document that the configuration held was made from, as it came; nothing is parsed anew.
    fn show_origin(&self, now: Time) -> Value {
        let mark = self.f.state.cfg_mark;
        let held = self.cfg.as_ref().filter(|(at, _)| *at == mark);
        let origin = held.map(|(_, config)| config.origin.as_str());
        json!({"confirmed": self.f.holds(now), "origin": origin.filter(|text| !text.is_empty())})
    }

    fn show_config(&self, now: Time) -> Value {
        let s = &self.f.state;
        let body = serde_json::from_str::<Value>(&s.cfg).unwrap_or(Value::Null);
        json!({"mark": s.cfg_mark, "configuration": body, "confirmed": self.f.holds(now),
            "evacuated": s.evacuated, "drained": s.drained,
            "warnings": self.show_warnings(&s.cfg)["warnings"]})
    }

    fn show_fleet(&self, now: Time) -> Value {
        let sum = |s: &crate::wire::Summary, since: Time, why: &str| {
            let m = self.f.state.members.get(&s.id);
            let status = ["alive", "suspect", "gone"][s.status.min(2) as usize];
            json!({"id": format!("{:x}", s.id), "addr": s.addr.to_string(), "http": s.http.to_string(),
                "domain": s.domain, "disk": s.disk, "status": status, "since": since, "why": why,
                "view": s.view, "mark": s.mark, "allows": s.allows, "stopping": s.stopping,
                "member": m.map(|m| m.phase.clone())})
        };
        let mut v = vec![sum(&self.c.me, 0, "this node")];
        v.extend(
            self.c
                .all
                .values()
                .map(|c| sum(&c.s, c.since + self.wall, &c.why)),
        );
        json!({"asked": format!("{:x}", self.me.id), "confirmed": self.f.holds(now), "nodes": v})
    }

    fn show_verdicts(&self) -> Value {
        let st = &self.f.state;
        let Some((_, c)) = &self.cfg else {
            return json!({"databases": {}});
        };
        let mut dbs = serde_json::Map::new();
        for n in c.databases.keys() {
            let d = st.dbs.get(n).cloned().unwrap_or_default();
            let servers: Vec<Value> = db_servers(c, st, n)
                .into_iter()
                .map(|s| {
                    let role = match () {
                        _ if d.primary.as_ref() == Some(&s.name) => "takes writes",
                        _ if d.old.as_ref() == Some(&s.name) => "offline",
                        _ if d.target.as_ref() == Some(&s.name) => "being promoted",
                        _ if !st.eligible(&d, &s.name) => "retired",
                        _ if st.heir(&d, &s.name) => "heir",
                        _ if d.joining.contains_key(&s.name) => "joining",
                        _ => "replica",
                    };
                    json!({"server": s.name, "role": role, "off": server_off(st, s),
                        "labels": labels_of(c, s), "life": format!("{:x}", s.life)})
                })
                .collect();
            let hex = |v: &[u64]| v.iter().map(|n| format!("{n:x}")).collect::<Vec<_>>();
            let row = json!({"epoch": d.epoch, "phase": d.phase, "primary": d.primary,
                "since": d.since, "planned": d.planned, "target": d.target,
                "fencers": hex(&d.fencers), "gateways": hex(&d.gateways), "servers": servers});
            dbs.insert(n.clone(), row);
        }
        json!({"mark": st.mark, "databases": dbs})
    }

    fn show_reasons(&self, arg: &str) -> Value {
        let hit = |s: &&Story| arg.is_empty() || s.topic == arg || s.text.contains(arg);
        let mut v: Vec<Value> = self
            .f
            .state
            .stories
            .iter()
            .filter(hit)
            .map(|s| tale(s, 0, "fleet"))
            .collect();
        v.extend(
            self.why
                .v
                .iter()
                .filter(hit)
                .map(|s| tale(s, self.wall, "this node")),
        );
        v.sort_by_key(|x| x["at"].as_u64().unwrap_or(0));
        json!({"reasons": v})
    }
}
