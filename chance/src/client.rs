use crate::sim::*;
use guise::check::Event;
use guise::mix::{Caller, Class, Do};
use serde_json::Value;
use tenet::base::*;
use tenet::config::Config;
use tenet::front::{BackRes, FrontIn};
use tenet::session::Req;

pub enum Doing {
    Idle,
    Opening,
    Run { class: Class, id: String, key: String, value: i64 },
    Txn { id: String, steps: Vec<Value>, at: usize, key: String, value: i64, begun: bool },
    Rolling,
    Setting { name: String, value: String },
    Showing { value: String },
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
                pause: s.pause,
                call: 0,
                kept_at: 0,
                worst: 0,
                sent: 0,
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
        if !matches!(self.clients[c].doing, Doing::Idle) {
            let call = self.clients[c].call;
            return self.reply(call, BackRes::Lost);
        }
        if self.stop_clients {
            return;
        }
        self.clients[c].start = self.now;
        let Some(session) = self.clients[c].session else {
            self.clients[c].doing = Doing::Opening;
            let (db, user) = (self.clients[c].db.clone(), format!("caller-{c}"));
            return self.send(c, Req::Open { db, user, tenant: None, settings: vec![] });
        };
        let kinds = self.kinds.clone();
        match self.clients[c].caller.next(&kinds) {
            Do::Run { kind, id, body, class, key, value } => {
                let name = id.clone().unwrap_or_default();
                self.clients[c].doing = Doing::Run { class, id: name, key, value };
                self.send(c, Req::Run { session, kind, id, body: body.to_string(), prepared: None, budget: None });
            }
            Do::Txn { id, steps, key, value } => {
                let req = Req::Begin { session, kind: None, id: Some(id.clone()), budget: None };
                self.clients[c].doing = Doing::Txn { id, steps, at: 0, key, value, begun: false };
                self.send(c, req);
            }
            Do::Show { name, value } => {
                self.clients[c].doing = Doing::Setting { name: name.clone(), value: value.clone() };
                self.send(c, Req::Set { session, name, value });
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
            true => self.at(self.now + 1, Ev::Front(n, life, FrontIn::Call { call, req })),
            false => self.at(self.now + 1, Ev::Reply { call, res: BackRes::NotSent }),
        }
    }

    pub fn node_died(&mut self, n: usize) {
        let v: Vec<u64> = self.calls.iter().filter(|(_, x)| x.1 == n).map(|(k, _)| *k).collect();
        for call in v {
            self.at(self.now + 1, Ev::Reply { call, res: BackRes::Lost });
        }
    }

    pub fn reply(&mut self, call: u64, res: BackRes) {
        let Some((c, n, _)) = self.calls.remove(&call) else { return };
        let wait = self.now - self.clients[c].sent;
        if wait > 6500 && self.nodes[n].thawed < self.clients[c].sent && matches!(res, BackRes::Rejected(..)) {
            self.watch.faults.push(format!("held back: caller {c} was rejected by node {n} only after {wait} ms: {res:?}"));
        }
        let gone = match &res {
            BackRes::Rejected(_, w) => w.contains("unknown-session") || w.contains("leaving"),
            BackRes::Ok(v) => v["leaving"] == true && !matches!(self.clients[c].doing, Doing::Txn { .. }),
            _ => true,
        };
        let doing = std::mem::replace(&mut self.clients[c].doing, Doing::Idle);
        let ok = matches!(res, BackRes::Ok(_));
        let session = self.clients[c].session.unwrap_or(0);
        match doing {
            Doing::Opening => match &res {
                BackRes::Ok(v) => self.clients[c].session = v["session"].as_u64(),
                _ => self.move_on(c),
            },
            Doing::Run { class, id, key, value } => self.record(c, &res, class, id, key, value),
            Doing::Txn { id, steps, at, key, value, begun } => {
                if !ok {
                    let committing = at > steps.len();
                    let res = if committing { res } else { BackRes::NotSent };
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
                            Req::Run { session, kind, id: None, body, prepared: None, budget: None }
                        }
                        None => Req::Commit { session, budget: None },
                    };
                    self.clients[c].doing = Doing::Txn { id, steps, at: at + 1, key, value, begun: true };
                    return self.send(c, req);
                }
            }
            Doing::Setting { name, value } if ok => {
                self.clients[c].doing = Doing::Showing { value };
                let kind = self.kinds.current[0].clone();
                let body = serde_json::json!({"op": "show", "name": name}).to_string();
                return self.send(c, Req::Run { session, kind, id: None, body, prepared: None, budget: None });
            }
            Doing::Showing { value } => {
                if let BackRes::Ok(v) = &res {
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

    fn move_on(&mut self, c: usize) {
        self.clients[c].session = None;
        let n = self.nodes.len();
        let k = &mut self.clients[c].node;
        *k = if *k + 1 >= n { 3 } else { *k + 1 };
    }

    fn record(&mut self, c: usize, res: &BackRes, class: Class, id: String, key: String, value: i64) {
        let out = Sim::out(res);
        let (start, end) = (self.clients[c].start, self.now);
        let value = match (class, res) {
            (Class::Write, _) => value,
            (_, BackRes::Ok(v)) => v["result"].as_i64().unwrap_or(0),
            _ => 0,
        };
        if let BackRes::Ok(v) = res {
            self.hops(c, &id, v);
            if class == Class::Current {
                let n = v["hops"].as_array().map_or(0, |a| a.len());
                let far = self.history.hops.last().map_or(0, |h| h.1.windows(2).filter(|w| w[0] != w[1]).count());
                self.watch.tiers.entry((n, far)).or_default().push(end - start);
            }
            let heal = self.watch.heal_at;
            if heal > 0 && start >= heal && class == Class::Write {
                self.watch.healed.entry(self.clients[c].node).or_insert(end - heal);
            }
            let k = &mut self.clients[c];
            k.worst = k.worst.max(if k.kept_at > 0 { end - k.kept_at } else { 0 });
            k.kept_at = end;
        }
        let word = match res {
            BackRes::Rejected(_, w) => w.split(':').next().unwrap_or("").to_string(),
            r => format!("{:?}", Sim::out(r)).to_lowercase(),
        };
        *self.history.kinds.entry(format!("{class:?} {word}")).or_default() += 1;
        self.history.events.push(Event { start, end, session: c as u64, class, id, key, value, out });
    }

    fn hops(&mut self, c: usize, id: &str, v: &Value) {
        let node = |h: &Value| {
            let h = u64::from_str_radix(h.as_str()?, 16).ok()?;
            let n = self.nodes.iter().find(|n| n.control.as_ref().is_some_and(|c| c.me.id == h))?;
            self.cfg.region(&n.domain).map(String::from)
        };
        let path: Vec<String> = v["hops"].as_array().map_or(vec![], |a| a.iter().filter_map(node).collect());
        let mut ok = self.cfg.databases[&self.clients[c].db].homes.clone();
        ok.extend(self.cfg.region(&self.nodes[self.clients[c].node].domain).map(String::from));
        self.history.hops.push((id.into(), path, ok));
    }
}
