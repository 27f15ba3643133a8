//! Callers on servers that keep outcomes by id: each holds a session at one node, sends what `guise::mix` draws,
//! and moves to another node when its own fails.

use crate::sim::*;
use guise::mix::{Caller, Class, Do};
use medium::back::HttpRes;
use serde_json::Value;
use tenet::base::*;
use tenet::config::Config;
use tenet::front::FrontIn;
use tenet::session::{Req, Want};

pub enum Doing {
    Idle,
    Opening,
    Run {
        class: Class,
        id: String,
        key: String,
        value: i64,
    },
    Txn {
        id: String,
        steps: Vec<Value>,
        at: usize,
        key: String,
        value: i64,
        begun: bool,
    },
    Rolling,
    Setting {
        name: String,
        value: String,
    },
    Showing {
        value: String,
    },
}

pub struct Client {
    pub caller: Caller,
    pub db: String,
    pub node: usize,
    pub session: Option<u64>,
    pub doing: Doing,
    pub start: Time,
    pub turn: u64,
    pub pause: u64,
    pub call: u64,
    pub kept_at: Time,
    pub worst: Time,
    pub sent: Time,
    pub tenant: Option<String>,
    pub waiting: Option<Req>,
    pub begun: Time,
}

fn tenant(c: &Config, db: &str, i: usize) -> Option<String> {
    let v: Vec<&String> = c.databases[db].tenants.keys().collect();
    (i % 4 == 1)
        .then(|| v.get(i / 12 % v.len().max(1)).map(|t| t.to_string()))
        .flatten()
}

impl Client {
    pub fn crowd(c: &Config, s: &Setup) -> Vec<Client> {
        let dbs: Vec<&String> = c.databases.keys().collect();
        let of = (s.sessions / dbs.len()).max(1) as u64;
        (0..s.sessions)
            .map(|i| Client {
                caller: Caller::new(i as u64, of, dbs[i % dbs.len()], s.seed),
                db: dbs[i % dbs.len()].clone(),
                node: 3 + (i / dbs.len()) % (s.nodes - 3),
                session: None,
                doing: Doing::Idle,
                start: 0,
                turn: 0,
                pause: if i % 12 == 11 { 15_000 } else { s.pause },
                call: 0,
                kept_at: 0,
                worst: 0,
                sent: 0,
                tenant: tenant(c, dbs[i % dbs.len()], i),
                waiting: None,
                begun: 0,
            })
            .collect()
    }
}

const CLIENT_WAIT: Time = 9000;

impl Sim {
    pub fn client(&mut self, c: usize, turn: u64) {
        if self.clients[c].turn != turn {
            return;
        }
        if let Some(r) = self.clients[c].waiting.take() {
            return self.send(c, r);
        }
        if !matches!(self.clients[c].doing, Doing::Idle) {
            let call = self.clients[c].call;
            return self.reply(call, HttpRes::Lost);
        }
        if self.stop_clients {
            return;
        }
        self.clients[c].start = self.now;
        let Some(session) = self.clients[c].session else {
            self.clients[c].doing = Doing::Opening;
            let (db, user) = (self.clients[c].db.clone(), format!("caller-{c}"));
            let tenant = self.clients[c].tenant.clone();
            return self.send(
                c,
                Req::Open {
                    db,
                    user,
                    tenant,
                    settings: vec![],
                },
            );
        };
        let kinds = self.kinds.clone();
        match self.clients[c].caller.next(&kinds) {
            Do::Run {
                kind,
                id,
                body,
                class,
                key,
                value,
            } => {
                let name = id.clone().unwrap_or_default();
                self.clients[c].doing = Doing::Run {
                    class,
                    id: name,
                    key,
                    value,
                };
                self.send(
                    c,
                    Req::Run {
                        session,
                        kind: Want::Kind(kind),
                        id,
                        body: body.to_string(),
                        prepared: None,
                        budget: None,
                    },
                );
            }
            Do::Txn {
                id,
                steps,
                key,
                value,
            } => {
                let req = Req::Begin {
                    session,
                    kind: None,
                    id: Some(id.clone()),
                    lazy: false,
                    budget: None,
                };
                self.clients[c].doing = Doing::Txn {
                    id,
                    steps,
                    at: 0,
                    key,
                    value,
                    begun: false,
                };
                self.send(c, req);
            }
            Do::Show { name, value } => {
                self.clients[c].doing = Doing::Setting {
                    name: name.clone(),
                    value: value.clone(),
                };
                self.send(
                    c,
                    Req::Set {
                        session,
                        name,
                        value,
                    },
                );
            }
        }
    }

    fn send(&mut self, c: usize, req: Req) {
        self.next_call += 1;
        let call = self.next_call;
        let n = self.clients[c].node;
        let (life, up) = (self.nodes[n].life, self.nodes[n].up);
        self.clients[c].call = call;
        self.clients[c].sent = self.now;
        self.clients[c].turn += 1;
        let turn = self.clients[c].turn;
        self.calls.insert(call, (c, n, life));
        self.at(self.now + CLIENT_WAIT, Ev::Client(c, turn));
        match up {
            true => self.at(
                self.now + 1,
                Ev::Front(n, life, FrontIn::Call { call, req }),
            ),
            false => self.at(
                self.now + 1,
                Ev::Reply {
                    call,
                    res: HttpRes::NotSent,
                },
            ),
        }
    }

    pub fn node_died(&mut self, n: usize) {
        let v: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, x)| x.1 == n)
            .map(|(k, _)| *k)
            .collect();
        for call in v {
            match self.termed.is_some() {
                true => self.at(self.now + 1, Ev::Said { call, r: None }),
                false => self.at(
                    self.now + 1,
                    Ev::Reply {
                        call,
                        res: HttpRes::Lost,
                    },
                ),
            }
        }
    }

    pub fn reply(&mut self, call: u64, res: HttpRes) {
        let Some((c, n, _)) = self.calls.remove(&call) else {
            return;
        };
        let wait = self.now - self.clients[c].sent;
        if wait > 6500
            && self.nodes[n].thawed < self.clients[c].sent
            && matches!(res, HttpRes::Rejected(..))
        {
            self.watch.faults.push(format!(
                "held back: caller {c} was rejected by node {n} only after {wait} ms: {res:?}"
            ));
        }
        let gone = match &res {
            HttpRes::Rejected(_, w) => w.contains("unknown-session") || w.contains("leaving"),
            HttpRes::Ok(v) => {
                v["leaving"] == true && !matches!(self.clients[c].doing, Doing::Txn { .. })
            }
            _ => true,
        };
        let doing = std::mem::replace(&mut self.clients[c].doing, Doing::Idle);
        let ok = matches!(res, HttpRes::Ok(_));
        let session = self.clients[c].session.unwrap_or(0);
        match doing {
            Doing::Opening => match &res {
                HttpRes::Ok(v) => self.clients[c].session = v["session"].as_u64(),
                _ => self.move_on(c),
            },
            Doing::Run {
                class,
                id,
                key,
                value,
            } => self.record(c, &res, class, id, key, value),
            Doing::Txn {
                id,
                steps,
                at,
                key,
                value,
                begun,
            } => {
                if !ok {
                    let committing = at > steps.len();
                    self.cut_short(c, begun, &res);
                    let res = if committing { res } else { HttpRes::NotSent };
                    self.record(c, &res, Class::Write, id, key, value);
                    if begun && !gone && !committing {
                        self.clients[c].doing = Doing::Rolling;
                        return self.send(c, Req::Rollback { session });
                    }
                } else if at > steps.len() {
                    self.record(c, &res, Class::Write, id, key, value);
                } else {
                    let req = match steps.get(at) {
                        Some(b) => {
                            let (kind, body) = (self.kinds.write[0].clone(), b.to_string());
                            Req::Run {
                                session,
                                kind: Want::Kind(kind),
                                id: None,
                                body,
                                prepared: None,
                                budget: None,
                            }
                        }
                        None => Req::Commit {
                            session,
                            body: String::new(),
                            budget: None,
                        },
                    };
                    if !begun {
                        self.clients[c].begun = self.now;
                    }
                    self.clients[c].doing = Doing::Txn {
                        id,
                        steps,
                        at: at + 1,
                        key,
                        value,
                        begun: true,
                    };
                    return self.later(c, req);
                }
            }
            Doing::Setting { name, value } if ok => {
                self.clients[c].doing = Doing::Showing { value };
                let kind = self.kinds.current[0].clone();
                let body = serde_json::json!({"op": "show", "name": name}).to_string();
                return self.send(
                    c,
                    Req::Run {
                        session,
                        kind: Want::Kind(kind),
                        id: None,
                        body,
                        prepared: None,
                        budget: None,
                    },
                );
            }
            Doing::Showing { value } => {
                if let HttpRes::Ok(v) = &res {
                    let got = v["result"]["value"].as_str().unwrap_or("").to_string();
                    self.history.settings.push((value, got));
                }
            }
            _ => (),
        }
        if gone {
            self.move_on(c);
        }
        self.clients[c].turn += 1;
        let mean = self.clients[c].pause;
        let p = self.clients[c].caller.pause(mean);
        let turn = self.clients[c].turn;
        self.at(self.now + p, Ev::Client(c, turn));
    }

    fn later(&mut self, c: usize, req: Req) {
        let p = self.clients[c].caller.roll(500);
        if p > 250 {
            return self.send(c, req);
        }
        self.clients[c].waiting = Some(req);
        self.clients[c].turn += 1;
        let turn = self.clients[c].turn;
        self.at(self.now + p, Ev::Client(c, turn));
    }

    fn cut_short(&mut self, c: usize, begun: bool, res: &HttpRes) {
        let (at, now) = (self.clients[c].begun, self.now);
        let first = self.watch.planned.iter().find(|p| at <= **p);
        let soon = first.filter(|p| now < **p + 2900).copied();
        if let (true, false, Some(p)) = (begun, self.watch.unplanned, soon) {
            self.watch.faults.push(format!("cut: a transaction of caller {c} on {} ended {} ms after a planned change at {p}: {res:?}", self.clients[c].db, now - p));
        }
    }

    fn move_on(&mut self, c: usize) {
        self.clients[c].session = None;
        let n = self.nodes.len();
        let k = &mut self.clients[c].node;
        *k = if *k + 1 >= n { 3 } else { *k + 1 };
    }
}
