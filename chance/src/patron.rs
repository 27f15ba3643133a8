//! Callers on servers that number their terms: sessions over a route with settings, prepared statements and
//! transactions, and what the record must know of each statement before it is sent.

use guise::mix::Class;
use std::collections::BTreeMap;
use tenet::base::mix;
use tenet::kind::Kind;
use tenet::session::{Answer, Req, Want};

/// A client of one entry: what its session holds, and what it is doing.
pub struct Patron {
    pub n: usize,
    pub entry: String,
    pub service: String,
    pub reads: Class,
    pub node: usize,
    pub session: Option<u64>,
    pub options: BTreeMap<String, String>,
    pub names: BTreeMap<String, String>,
    pub now: Now,
    pub turn: u64,
    pub call: u64,
    pub begun: u64,
    pub pause: u64,
    seed: u64,
    rolls: u64,
    ids: u64,
}

#[derive(Clone, Default, PartialEq)]
pub enum Now {
    #[default]
    Idle,
    Opening,
    Option(String, String),
    Prepare(String, String),
    Release(String),
    Single(String),
    Begin {
        steps: u64,
    },
    Step {
        id: String,
        left: u64,
        txn: u64,
    },
    Commit(String),
    Rolling,
}

pub enum Next {
    Send(Box<Req>, Option<Asks>),
    Rest,
}

/// What the book must know of a statement before it is sent.
pub struct Asks {
    pub id: String,
    pub text: String,
    pub txn: u64,
    pub class: Class,
    pub commits: bool,
    pub shape: Option<String>,
}

/// Whether an error of this kind promises that nothing of the try is kept.
pub fn promises(k: Kind) -> bool {
    use Kind::*;
    matches!(
        k,
        Aborted | Busy | NotCurrent | NoPrimary | NoHome | NoCopies | Leaving | Starting | TooLate
    )
}

impl Patron {
    pub fn new(
        n: usize,
        entry: &str,
        service: &str,
        reads: Class,
        node: usize,
        seed: u64,
    ) -> Patron {
        let pause = if n % 12 == 11 { 12_000 } else { 220 };
        Patron {
            n,
            entry: entry.into(),
            service: service.into(),
            reads,
            node,
            session: None,
            options: BTreeMap::new(),
            names: BTreeMap::new(),
            now: Now::Idle,
            turn: 0,
            call: 0,
            begun: 0,
            pause,
            seed: mix(seed ^ mix(n as u64 + 7)),
            rolls: 0,
            ids: 0,
        }
    }

    pub fn roll(&mut self, m: u64) -> u64 {
        self.rolls += 1;
        mix(self.seed ^ mix(self.rolls)) % m.max(1)
    }

    fn id(&mut self) -> String {
        self.ids += 1;
        format!("{}.{}", self.n, self.ids)
    }

    fn key(&mut self) -> String {
        let k = self.roll(12);
        format!("{}-k{k}", self.service)
    }

    fn statement(&mut self, writes: bool, txn: u64) -> (Req, Asks) {
        let (id, key) = (self.id(), self.key());
        let shape = if writes { "STORE" } else { "FETCH" };
        let names: Vec<(String, String)> = self
            .names
            .iter()
            .filter(|n| n.1.starts_with(shape))
            .map(|(a, b)| (a.clone(), b.clone()))
            .collect();
        let value = if writes {
            format!(" v{}", id)
        } else {
            String::new()
        };
        let named = if self.roll(3) == 0 {
            names.first().cloned()
        } else {
            None
        };
        let text = match &named {
            Some((n, _)) => format!("EXECUTE {n} {key}{value}"),
            None => format!("{shape} {key}{value}"),
        };
        let session = self.session.unwrap_or(0);
        let (kind, body) = (
            if writes { Want::Writes } else { Want::Reads },
            format!("{id} {text}"),
        );
        let req = Req::Run {
            session,
            kind,
            id: Some(id.clone()),
            body,
            prepared: None,
            budget: None,
        };
        let class = if writes { Class::Write } else { self.reads };
        (
            req,
            Asks {
                id,
                text,
                txn,
                class,
                commits: writes && txn == 0,
                shape: named.map(|n| n.1),
            },
        )
    }

    fn set_up(&mut self) -> Option<Req> {
        let session = self.session?;
        let name = format!("s{}", self.roll(2));
        Some(match self.roll(10) {
            0..=4 => {
                let (name, value) = (format!("o{}", self.roll(3)), format!("{}", self.roll(1000)));
                self.now = Now::Option(name.clone(), value.clone());
                Req::Set {
                    session,
                    name,
                    value,
                }
            }
            5..=7 => {
                let text = format!(
                    "{} q{}",
                    if self.roll(2) == 0 { "FETCH" } else { "STORE" },
                    self.roll(100)
                );
                self.now = Now::Prepare(name.clone(), text.clone());
                Req::Prepare {
                    session,
                    name,
                    text,
                }
            }
            _ if self.names.contains_key(&name) => {
                self.now = Now::Release(name.clone());
                Req::Release { session, name }
            }
            _ => return None,
        })
    }

    /// What an idle client does next.
    pub fn next_move(&mut self) -> Next {
        let Some(session) = self.session else {
            self.now = Now::Opening;
            (self.options, self.names) = Default::default();
            return Next::Send(
                Box::new(Req::Enter {
                    entry: self.entry.clone(),
                    user: String::new(),
                }),
                None,
            );
        };
        match self.roll(100) {
            0..=11 => match self.set_up() {
                Some(r) => Next::Send(Box::new(r), None),
                None => Next::Rest,
            },
            12..=31 => {
                let steps = 1 + self.roll(5);
                self.now = Now::Begin { steps };
                let id = Some(self.id());
                let lazy = self.roll(2) == 0;
                Next::Send(
                    Box::new(Req::Begin {
                        session,
                        kind: None,
                        id,
                        lazy,
                        budget: None,
                    }),
                    None,
                )
            }
            x => {
                let (r, a) = self.statement(x < 60, 0);
                self.now = Now::Single(a.id.clone());
                Next::Send(Box::new(r), Some(a))
            }
        }
    }

    fn step(&mut self, left: u64, txn: u64) -> Next {
        let session = self.session.unwrap_or(0);
        if left == 0 && self.roll(6) == 0 {
            self.now = Now::Rolling;
            return Next::Send(Box::new(Req::Rollback { session }), None);
        }
        if left == 0 {
            let id = self.id();
            self.now = Now::Commit(id.clone());
            let a = Asks {
                id: id.clone(),
                text: "COMMIT".into(),
                txn,
                class: Class::Write,
                commits: true,
                shape: None,
            };
            return Next::Send(
                Box::new(Req::Commit {
                    session,
                    body: format!("{id} COMMIT"),
                    budget: None,
                }),
                Some(a),
            );
        }
        let writes = self.roll(2) == 0;
        let (r, a) = self.statement(writes, txn);
        self.now = Now::Step {
            id: a.id.clone(),
            left: left - 1,
            txn,
        };
        Next::Send(Box::new(r), Some(a))
    }

    /// Takes an answer. `None`: the connection broke or nothing came.
    pub fn told(&mut self, r: &Option<Result<Answer, tenet::kind::Reject>>) -> Next {
        let now = std::mem::take(&mut self.now);
        let ok = matches!(r, Some(Ok(_)));
        let gone = match r {
            None => true,
            Some(Ok(Answer::Ran(x))) => {
                x.leaving && !matches!(now, Now::Begin { .. } | Now::Step { .. })
            }
            Some(Err(e)) => matches!(
                e.kind,
                Kind::UnknownSession | Kind::Leaving | Kind::Starting
            ),
            _ => false,
        };
        let end = match now {
            Now::Opening => {
                if let Some(Ok(Answer::Opened { session, .. })) = r {
                    self.session = Some(*session);
                }
                !ok
            }
            Now::Option(n, v) if ok => {
                self.options.insert(n, v);
                false
            }
            Now::Prepare(n, t) if ok => {
                self.names.insert(n, t);
                false
            }
            Now::Release(n) if ok => {
                self.names.remove(&n);
                false
            }
            Now::Option(..) | Now::Prepare(..) | Now::Release(..) => true,
            Now::Begin { steps } if ok => return self.step(steps, self.begun),
            Now::Step { left, txn, .. } if ok => return self.step(left, txn),
            Now::Step { .. } if !gone => {
                self.now = Now::Rolling;
                return Next::Send(
                    Box::new(Req::Rollback {
                        session: self.session.unwrap_or(0),
                    }),
                    None,
                );
            }
            _ => false,
        };
        if gone || end {
            self.session = None;
        }
        Next::Rest
    }
}
