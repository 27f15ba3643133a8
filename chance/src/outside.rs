//! The world outside the processes: servers that answer calls, the platform that promotes, announcements. Answers
//! vanish here, and planted flaws act here.

use crate::fault::*;
use crate::sim::*;
use crate::wires::End;
use medium::back::HttpRes;
use serde_json::Value;
use tenet::base::*;
use tenet::control::In;
use tenet::front::*;
use tenet::state::Op;

impl Sim {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn back(
        &mut self,
        node: usize,
        life: u32,
        token: u64,
        s: usize,
        path: &'static str,
        body: Value,
    ) {
        if !self.world.servers[s].up {
            return;
        }
        if self.plant == Plant::NoReset && path == "/reset" {
            return self.answer(node, life, token, s, HttpRes::Ok(Value::Null), path);
        }
        let mut body = body;
        if self.plant == Plant::BlindRetry && path == "/statement" {
            body["id"] = Value::String(format!(
                "{}#{}",
                body["id"].as_str().unwrap_or(""),
                self.roll(1 << 40)
            ));
        }
        let mut r = self.world.handle(self.now, s, path, &body);
        if path == "/log" {
            let lead = self.world.servers[s].follows;
            if let (Ok(v), Some(l)) = (&mut r, lead) {
                if self.plant == Plant::LyingReplica {
                    v["pos"] = self.world.servers[l].data.pos().into();
                }
            }
        }
        let vanish =
            self.lose > 0 && matches!(path, "/statement" | "/commit") && self.roll(100) < self.lose;
        if vanish {
            return;
        }
        let res = match r {
            Ok(v) => HttpRes::Ok(v),
            Err((c, w)) => HttpRes::Rejected(c, w),
        };
        self.answer(node, life, token, s, res, path);
    }

    fn answer(&mut self, node: usize, life: u32, token: u64, s: usize, res: HttpRes, path: &str) {
        let res = medium::dialect::got(path, res);
        self.pipe(
            End::Server(s),
            End::Node(node),
            None,
            0,
            Ev::Front(node, life, FrontIn::Back { token, res }),
        );
    }

    pub(crate) fn promote(
        &mut self,
        node: usize,
        life: u32,
        db: String,
        server: String,
        epoch: Mark,
    ) {
        let done = match self.mood {
            Mood::Unreachable => Err(false),
            Mood::Refuses => Err(false),
            Mood::LosesAnswer => {
                let _ = self.world.promote(self.now, &server);
                Err(true)
            }
            _ => self
                .world
                .promote(self.now, &server)
                .map(|_| true)
                .map_err(|_| false),
        };
        self.control(
            node,
            life,
            In::Promoted {
                db,
                epoch,
                server,
                done,
            },
        );
    }

    pub(crate) fn announce(&mut self) {
        self.at(self.now + 500, Ev::Announce);
        let up: Vec<usize> = self
            .nodes
            .iter()
            .filter(|n| n.up && !n.frozen)
            .map(|n| n.i)
            .collect();
        for s in 0..self.world.servers.len() {
            if !self.world.servers[s].up || up.is_empty() {
                continue;
            }
            if self.termed.is_some() {
                self.announce_one(s);
                continue;
            }
            let j = up[self.roll(up.len() as u64) as usize];
            let w = &self.world.servers[s];
            let op = Op::Announce {
                server: w.name.clone(),
                addr: server_addr(s),
                domain: w.domain.clone(),
                labels: [("db".to_string(), w.db.clone())].into(),
                life: w.life,
                leads: w.leads,
                leaving: w.leaving,
                terms: false,
                seq: 0,
            };
            let life = self.nodes[j].life;
            if !self.apart(End::Server(s), End::Node(j)) {
                self.at(
                    self.now + 1,
                    Ev::Control(j, life, In::Announce { call: 0, op }),
                );
            }
        }
    }
}
