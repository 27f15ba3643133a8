//! Carries out one event: polls the machine it is for and queues what that wants sent, written, called and answered.

use crate::fault::*;
use crate::node::DiskFull;
use crate::sim::*;
use crate::wires::End;
use guise::check::Out;
use medium::back::HttpRes;
use tenet::base::*;
use tenet::control::*;
use tenet::front::*;
use tenet::wire::Packet;

impl Sim {
    pub fn step(&mut self, e: Ev) {
        match e {
            Ev::Control(i, life, x) => self.control(i, life, x),
            Ev::Front(i, life, x) => self.front(i, life, x),
            Ev::WakeC(i, life, t) if self.nodes[i].wake_c == t => self.control(i, life, In::Wakeup),
            Ev::WakeF(i, life, t) if self.nodes[i].wake_f == t => {
                self.front(i, life, FrontIn::Wakeup)
            }
            Ev::WakeC(..) | Ev::WakeF(..) => (),
            Ev::Synced(i, life, seq) => {
                let n = &mut self.nodes[i];
                if n.life != life || !n.up {
                    return;
                }
                match self.plant == Plant::LyingDisk || n.frozen {
                    true if n.frozen => self.at(self.now + 20, Ev::Synced(i, life, seq)),
                    true => self.control(i, life, In::Synced(seq)),
                    false => match n.synced(seq) {
                        Ok(true) => self.control(i, life, In::Synced(seq)),
                        Ok(false) => (),
                        Err(DiskFull) => self.kill_with(i, false),
                    },
                }
            }
            Ev::Back {
                node,
                life,
                token,
                server,
                path,
                body,
            } => self.back(node, life, token, server, path, body),
            Ev::Lost(i, life, token) => {
                self.given_up(i, token);
                let res = BackRes::Lost;
                self.front(i, life, FrontIn::Back { token, res });
            }
            Ev::Drain(i, life) => self.draining(i, life),
            Ev::Client(c, turn) if self.termed.is_some() => self.patron(c, turn),
            Ev::Client(c, turn) => self.client(c, turn),
            Ev::Reply { call, res } => self.reply(call, res),
            Ev::Ask {
                node,
                life,
                token,
                server,
                query,
            } => self.asked(node, life, token, server, query),
            Ev::Said { call, r } => self.said(call, r),
            Ev::Promote {
                node,
                life,
                db,
                server,
                epoch,
                token,
                until,
                heard,
            } if self.termed.is_some() => match self.nodes[node].local(self.now) < until {
                _ if !heard => {
                    let now = self.now;
                    let _ = self.termed().fleet.accept(now, &server, token);
                }
                true => self.moved(node, life, (db, server, epoch, token)),
                false => self.control(
                    node,
                    life,
                    In::Promoted {
                        db,
                        epoch,
                        server,
                        done: Err(false),
                    },
                ),
            },
            Ev::Promote {
                node,
                life,
                db,
                server,
                epoch,
                ..
            } => self.promote(node, life, db, server, epoch),
            Ev::World => {
                self.flush();
                self.world.apart = self.servers_apart();
                match self.termed.is_some() {
                    true => self.tick_termed(),
                    false => self.world.tick(self.now),
                }
                self.look();
                self.at(self.now + 10, Ev::World);
            }
            Ev::Announce => self.announce(),
            Ev::Fault(f) => self.fault(f),
        }
    }

    fn frozen(&mut self, i: usize, life: u32) -> Option<bool> {
        let n = &self.nodes[i];
        (n.up && n.life == life).then_some(n.frozen)
    }

    pub fn control(&mut self, i: usize, life: u32, x: In) {
        match self.frozen(i, life) {
            None => return,
            Some(true) => return self.at(self.now + 20, Ev::Control(i, life, x)),
            Some(false) => (),
        }
        let local = self.nodes[i].local(self.now);
        let e = self.nodes[i].control.as_mut().map(|c| c.poll(local, x));
        e.into_iter().for_each(|e| self.effect(i, e));
    }

    pub fn effect(&mut self, i: usize, e: Effect) {
        let life = self.nodes[i].life;
        let now = self.now;
        self.nodes[i]
            .logs
            .extend(e.log.into_iter().map(|t| (now, t)));
        for (to, p) in e.send {
            self.post(i, to, p);
        }
        if let Some((seq, recs)) = e.write {
            let n = &mut self.nodes[i];
            n.disk_free = n.disk_free.max(self.now) + n.sync_ms;
            n.writing.push((seq, recs));
            let t = n.disk_free;
            self.at(t, Ev::Synced(i, life, seq));
        }
        for (call, r) in e.response {
            self.operator_told(call, r);
        }
        if let Some((t, until)) = e.news {
            let until = if self.plant == Plant::PermitForever {
                Time::MAX / 2
            } else {
                until
            };
            self.front(i, life, FrontIn::Table(t, until));
        }
        for p in e.promote {
            let wait = match self.mood {
                Mood::Slow => 4000,
                Mood::Quick => 1,
                Mood::Late(wait) => wait,
                _ if self.termed.is_some() => 20 + self.roll(100),
                _ => 1000,
            };
            let heard = !matches!(self.mood, Mood::Late(wait) if wait > PROMOTION_ANSWER_WAIT_MS);
            if !heard {
                let unknown = In::Promoted {
                    db: p.db.clone(),
                    server: p.server.clone(),
                    epoch: p.epoch,
                    done: Err(true),
                };
                let at = self.now + PROMOTION_ANSWER_WAIT_MS;
                self.at(at, Ev::Control(i, life, unknown));
            }
            self.at(
                self.now + wait,
                Ev::Promote {
                    node: i,
                    life,
                    db: p.db,
                    server: p.server,
                    epoch: p.epoch,
                    token: p.token,
                    until: p.not_after,
                    heard,
                },
            );
        }
        let w = self.nodes[i].global(e.wakeup).max(self.now + 1);
        self.nodes[i].wake_c = w;
        self.at(w, Ev::WakeC(i, life, w));
    }

    pub fn front(&mut self, i: usize, life: u32, x: FrontIn) {
        match self.frozen(i, life) {
            None => return,
            Some(true) => return self.at(self.now + 20, Ev::Front(i, life, x)),
            Some(false) => (),
        }
        let local = self.nodes[i].local(self.now);
        let Some(f) = self.nodes[i].front.as_mut() else {
            return;
        };
        let o = f.poll(local, x);
        let (from, addr) = (f.me, f.addr);
        for (a, msg) in o.send {
            self.post(
                i,
                a,
                Packet {
                    from,
                    addr,
                    cluster: 0,
                    msg,
                },
            );
        }
        for (call, r) in o.response {
            if self.termed.is_some() {
                self.at(self.now + 1, Ev::Said { call, r: Some(r) });
                continue;
            }
            let res = match r {
                Ok(v) => HttpRes::Ok(medium::dialect::told(v)),
                Err(e) => {
                    HttpRes::Rejected(e.kind.row().code, format!("{}/{}", e.kind.row().kept, e))
                }
            };
            self.at(self.now + 1, Ev::Reply { call, res });
        }
        if !o.sights.is_empty() {
            self.control(i, life, In::Sights(o.sights));
        }
        for (db, since) in o.clean {
            self.control(i, life, In::Clean { db, since });
        }
        for b in o.back {
            self.call_server(i, life, b);
        }
        let w = self.nodes[i].global(o.wakeup).max(self.now + 1);
        self.nodes[i].wake_f = w;
        self.at(w, Ev::WakeF(i, life, w));
    }

    fn call_server(&mut self, i: usize, life: u32, b: BackCall) {
        let token = b.token;
        let local = self.nodes[i].local(self.now);
        let s = (0..self.world.servers.len()).find(|s| server_addr(*s) == b.to);
        let (Some(s), true) = (s, local < b.not_after) else {
            return self.at(
                self.now + 1,
                Ev::Front(
                    i,
                    life,
                    FrontIn::Back {
                        token,
                        res: BackRes::NotSent,
                    },
                ),
            );
        };
        let lost = self.now + b.timeout;
        self.at(lost, Ev::Lost(i, life, token));
        let (a, d) = (End::Node(i), End::Server(s));
        if self.apart(a, d) && self.roll(4) == 0 {
            return self.at(
                self.now + 400,
                Ev::Front(
                    i,
                    life,
                    FrontIn::Back {
                        token,
                        res: BackRes::NotSent,
                    },
                ),
            );
        }
        if self.termed.is_some() {
            let cost = if matches!(b.query, Query::Position { .. }) {
                0
            } else {
                2
            };
            let ev = Ev::Ask {
                node: i,
                life,
                token,
                server: s,
                query: b.query,
            };
            return self.pipe(a, d, Some((i, token)), cost, ev);
        }
        let (path, body) = medium::dialect::ask(&b.query);
        let cost = match path {
            "/connect" => 20,
            "/statement" | "/commit" => 2,
            _ => 0,
        };
        let ev = Ev::Back {
            node: i,
            life,
            token,
            server: s,
            path,
            body,
        };
        self.pipe(a, d, Some((i, token)), cost, ev);
    }

    pub fn out(res: &HttpRes) -> Out {
        match res {
            HttpRes::Ok(_) => Out::Kept,
            HttpRes::Rejected(_, w) if w.starts_with("nothing") => Out::Nothing,
            HttpRes::NotSent => Out::Nothing,
            _ => Out::Unknown,
        }
    }
}
