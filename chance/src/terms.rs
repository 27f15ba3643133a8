//! Runs on servers that number their terms: their announcements, callers, promotions and the record for the judge.

use crate::days::{text, BOUNDS, SERVICES};
use crate::fault::*;
use crate::patron::{promises, Asks, Next, Now, Patron};
use crate::sim::*;
use crate::wires::End;
use guise::check::Out;
use guise::judge::*;
use guise::mix::Class;
use guise::termed::{Flaw, Fleet};
use tenet::base::*;
use tenet::control::In;
use tenet::front::*;
use tenet::kind::Reject;
use tenet::query::Query;
use tenet::session::{Answer, Req};

pub type Said = Option<Result<Answer, Reject>>;

/// What a run on servers that number their terms adds to the simulation.
pub struct Termed {
    pub fleet: Fleet,
    pub patrons: Vec<Patron>,
    pub book: Book,
    pub seqs: u64,
    pub txns: u64,
    pub served: std::collections::BTreeMap<String, u64>,
    pub gap: u64,
    pub versions: u64,
    pub starts: std::collections::BTreeMap<u64, u64>,
}

impl Sim {
    pub fn new_termed(seed: u64, flaw: Flaw) -> Sim {
        let setup = Setup {
            text: text(600),
            nodes: 9,
            sessions: 0,
            seed,
            pause: 250,
            sync_ms: 4,
            region_ms: 8,
        };
        let mut s = Sim::new(&setup);
        let names = s
            .world
            .servers
            .iter()
            .map(|x| (x.name.clone(), x.db.clone(), x.cap))
            .collect();
        let mut fleet = Fleet::new(names, seed);
        fleet.flaw = flaw;
        let kinds = [
            ("current", Class::Current),
            ("bounded", Class::Within(BOUNDS[0])),
            ("owned", Class::Own(BOUNDS[1])),
        ];
        let one = |i: usize| {
            let (db, (k, c)) = (SERVICES[i % 3], kinds[i / 3 % 3]);
            Patron::new(i, &format!("{db}-{k}"), db, c, 3 + (i / 9 + i) % 6, seed)
        };
        let patrons: Vec<Patron> = (0..36).map(one).collect();
        for c in 0..patrons.len() {
            let at = 7000 + s.roll(1000);
            s.at(at, Ev::Client(c, 0));
        }
        s.termed = Some(Box::new(Termed {
            fleet,
            patrons,
            book: Book::default(),
            seqs: 0,
            txns: 0,
            served: Default::default(),
            gap: 0,
            versions: 0,
            starts: Default::default(),
        }));
        s
    }

    pub(crate) fn termed(&mut self) -> &mut Termed {
        self.termed.as_mut().expect("a run on termed servers")
    }

    pub(crate) fn tick_termed(&mut self) {
        let apart = self.servers_apart();
        let now = self.now;
        let Some(t) = self.termed.as_mut() else {
            return;
        };
        for (i, s) in t.fleet.servers.iter_mut().enumerate() {
            s.stalled = self.world.servers[i].stalled;
        }
        t.fleet.tick(now, &|i, j| !apart.contains(&(i, j)));
        let v: Vec<(usize, bool)> = t
            .fleet
            .servers
            .iter()
            .enumerate()
            .map(|(i, s)| (i, s.leads))
            .collect();
        for (i, leads) in v {
            let s = &mut self.world.servers[i];
            if s.leads != leads {
                s.leads = leads;
                let db = s.db.clone();
                if leads {
                    self.world.last_leader.insert(db, i);
                }
                self.announce_one(i);
            }
        }
    }

    pub(crate) fn asked(&mut self, node: usize, life: u32, token: u64, s: usize, query: Query) {
        let now = self.now;
        let lose = self.lose > 0
            && matches!(query, Query::Run { .. } | Query::Commit { .. })
            && self.roll(100) < self.lose;
        let f = &mut self.termed().fleet;
        if !f.servers[s].up {
            return;
        }
        let ran = f.runs.len();
        let res = f.handle(now, s, &query);
        self.check_drained(node, ran);
        if !lose {
            self.pipe(
                End::Server(s),
                End::Node(node),
                None,
                0,
                Ev::Front(node, life, FrontIn::Back { token, res }),
            );
        }
    }

    pub(crate) fn moved(&mut self, node: usize, life: u32, p: (String, String, Mark, Mark)) {
        let (db, server, epoch, token) = p;
        let (now, mood) = (self.now, self.mood);
        let done = match mood {
            Mood::Unreachable | Mood::Refuses => Err(false),
            _ => {
                let r = self.termed().fleet.accept(now, &server, token);
                if matches!(mood, Mood::LosesAnswer | Mood::Slow) {
                    Err(true)
                } else {
                    r
                }
            }
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

    pub(crate) fn patron(&mut self, c: usize, turn: u64) {
        let stop = self.stop_clients;
        let p = &mut self.termed().patrons[c];
        if p.turn != turn {
            return;
        }
        if p.now != Now::Idle {
            let call = p.call;
            return self.said(call, None);
        }
        if !stop {
            let n = p.next_move();
            self.go(c, n);
        }
    }

    fn go(&mut self, c: usize, n: Next) {
        let now = self.now;
        let t = self.termed();
        let p = &mut t.patrons[c];
        p.turn += 1;
        match n {
            Next::Rest => {
                if p.session.is_none() {
                    p.node = if p.node >= 8 { 3 } else { p.node + 1 };
                }
                let wait = p.pause / 2 + p.roll(p.pause);
                let turn = p.turn;
                self.at(now + wait, Ev::Client(c, turn));
            }
            Next::Send(req, a) => {
                if let Req::Begin { .. } = *req {
                    t.txns += 1;
                    p.begun = t.txns;
                    t.starts.insert(t.txns, now);
                }
                if let Some(a) = a {
                    note(t, c, a, now);
                }
                self.send_patron(c, *req);
            }
        }
    }

    fn send_patron(&mut self, c: usize, req: Req) {
        self.next_call += 1;
        let call = self.next_call;
        let (node, turn) = {
            let p = &mut self.termed().patrons[c];
            p.call = call;
            (p.node, p.turn)
        };
        let (life, up) = (self.nodes[node].life, self.nodes[node].up);
        self.calls.insert(call, (c, node, life));
        self.at(self.now + 4000, Ev::Client(c, turn));
        match up {
            true => self.at(
                self.now + 1,
                Ev::Front(node, life, FrontIn::Call { call, req }),
            ),
            false => self.at(self.now + 1, Ev::Said { call, r: None }),
        }
    }

    pub(crate) fn said(&mut self, call: u64, r: Said) {
        let Some((c, ..)) = self.calls.remove(&call) else {
            return;
        };
        let now = self.now;
        let t = self.termed();
        let p = &mut t.patrons[c];
        let id = match &p.now {
            Now::Single(id) | Now::Commit(id) | Now::Step { id, .. } => Some(id.clone()),
            _ => None,
        };
        let word = match &r {
            None => "cut".into(),
            Some(Ok(_)) => "ok".into(),
            Some(Err(e)) => e.kind.to_string(),
        };
        if let Some(id) = id {
            let out = match &r {
                Some(Ok(_)) => Out::Kept,
                Some(Err(e)) if promises(e.kind) => Out::Nothing,
                _ => Out::Unknown,
            };
            let body = match &r {
                Some(Ok(Answer::Ran(x))) => x.done.body.clone(),
                _ => String::new(),
            };
            if out == Out::Kept && t.book.asked.get(&id).is_some_and(|a| a.commits) {
                let was = t.served.insert(p.service.clone(), now).unwrap_or(now);
                t.gap = t.gap.max(now - was);
            }
            t.book.told.push(Told {
                id,
                end: now,
                out,
                body,
            });
        }
        let was = p.session;
        let n = p.told(&r);
        let (node, left) = (p.node, was.filter(|_| p.session.is_none()));
        *self.history.kinds.entry(word).or_default() += 1;
        if let (Some(session), true) = (left, self.nodes[node].up) {
            let life = self.nodes[node].life;
            self.next_call += 1;
            let call = self.next_call;
            self.at(
                now + 1,
                Ev::Front(
                    node,
                    life,
                    FrontIn::Call {
                        call,
                        req: Req::Close { session },
                    },
                ),
            );
        }
        self.go(c, n);
    }
}

fn note(t: &mut Termed, c: usize, a: Asks, now: u64) {
    let p = &t.patrons[c];
    let start = t.starts.get(&a.txn).copied().unwrap_or(now);
    let x = Asked {
        start,
        session: p.session.unwrap_or(0),
        service: p.service.clone(),
        txn: a.txn,
        text: a.text,
        class: a.class,
        commits: a.commits,
        shape: a.shape,
        options: p.options.clone(),
    };
    t.book.asked.insert(a.id, x);
}
