//! Stand-in servers that number their terms, replicate late and look nothing up.
use std::collections::BTreeMap;
use tenet::base::{digest, mix};

pub const NUMBER: u32 = 40;

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub enum Flaw {
    #[default]
    None,
    GuardIgnored,
    WrittenTwice,
    KeptAndRefused,
    NotReset,
    OthersAnswer,
    LeadsWithLess,
}

#[derive(Clone)]
pub struct Line {
    pub pos: u64,
    pub id: String,
    pub puts: Vec<(String, String)>,
    pub at: u64,
}

pub struct Txn {
    pub serial: u64,
    pub term: u64,
    pub puts: Vec<(String, String)>,
}

#[derive(Default)]
pub struct Conn {
    pub options: BTreeMap<String, String>,
    pub names: BTreeMap<String, String>,
    pub txn: Option<Txn>,
}

#[derive(Default)]
pub struct Server {
    pub name: String,
    pub service: String,
    pub up: bool,
    pub stalled: bool,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Line>,
    pub got: Vec<u64>,
    pub applied: usize,
    pub data: BTreeMap<String, String>,
    pub conns: BTreeMap<u64, Conn>,
    pub cap: usize,
    pub busy: u64,
}

/// One statement or commit as its server ran it; `holds` counts what its log shared with the leader's.
pub struct Run {
    pub at: u64,
    pub server: usize,
    pub conn: u64,
    pub txn: Option<u64>,
    pub id: String,
    pub text: String,
    pub shape: Option<String>,
    pub options: BTreeMap<String, String>,
    pub holds: usize,
    pub body: String,
}

pub struct Cut {
    pub at: u64,
    pub id: String,
    pub service: String,
}

#[derive(Default)]
pub struct Fleet {
    pub servers: Vec<Server>,
    pub leader: BTreeMap<String, usize>,
    pub runs: Vec<Run>,
    pub kept: Vec<(u64, String)>,
    pub cut: Vec<Cut>,
    pub faults: Vec<String>,
    pub moves: Vec<(u64, usize)>,
    pub tokens: BTreeMap<String, u64>,
    pub flaw: Flaw,
    pub seed: u64,
    pub(crate) next: u64,
}

pub fn split(s: &str) -> (&str, &str) {
    s.split_once(' ').unwrap_or((s, ""))
}

pub fn shared(a: &[Line], b: &[Line]) -> usize {
    let mut n = a.len().min(b.len());
    while n > 0 && a[n - 1].pos != b[n - 1].pos {
        n -= 1;
    }
    n
}

impl Server {
    pub fn life(&self) -> u64 {
        digest(self.name.as_bytes())
    }

    pub fn received(&self) -> u64 {
        self.log.last().map_or(0, |l| l.pos)
    }

    pub fn shown(&self) -> u64 {
        self.applied.checked_sub(1).map_or(0, |i| self.log[i].pos)
    }

    fn apply(&mut self, to: usize) {
        for l in &self.log[self.applied..to] {
            self.data.extend(l.puts.iter().cloned());
        }
        self.applied = to;
    }

    fn cut_back(&mut self, n: usize) {
        self.log.truncate(n);
        self.got.truncate(n);
        if self.applied > n {
            (self.applied, self.data) = (0, BTreeMap::new());
            self.apply(n);
        }
    }

    pub(crate) fn append(&mut self, now: u64, id: &str, puts: Vec<(String, String)>) {
        let n = self.log.len() as u64 + 1;
        self.log.push(Line {
            pos: (self.term << NUMBER) | n,
            id: id.into(),
            puts,
            at: now,
        });
        self.got.push(now);
        self.apply(self.log.len());
    }
}

impl Fleet {
    pub fn new(names: Vec<(String, String, usize)>, seed: u64) -> Fleet {
        let mut f = Fleet {
            seed,
            next: 100,
            ..Fleet::default()
        };
        for (name, service, cap) in names {
            let leads = !f.leader.contains_key(&service);
            if leads {
                f.leader.insert(service.clone(), f.servers.len());
            }
            f.servers.push(Server {
                name,
                service,
                up: true,
                leads,
                term: 1,
                cap,
                ..Server::default()
            });
        }
        f
    }

    pub(crate) fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn roll(&self, i: usize, now: u64, m: u64) -> u64 {
        mix(self.seed ^ mix(i as u64) ^ mix(now / 1000)) % m
    }

    fn lag(&self, i: usize, now: u64) -> u64 {
        match self.roll(i, now, 12) {
            0 => 500,
            1 => 2200,
            n => 10 + 8 * n,
        }
    }

    pub fn tick(&mut self, now: u64, reach: &dyn Fn(usize, usize) -> bool) {
        let due: Vec<usize> = self
            .moves
            .iter()
            .filter(|m| m.0 <= now)
            .map(|m| m.1)
            .collect();
        self.moves.retain(|m| m.0 > now);
        due.into_iter().for_each(|i| self.lead(now, i));
        for i in 0..self.servers.len() {
            let s = &self.servers[i];
            let p = self.leader[&s.service];
            let l = &self.servers[p];
            if s.up && i != p && l.up && !s.stalled && reach(p, i) && reach(i, p) {
                let (n, term, delay) = (shared(&s.log, &l.log), l.term, 8 + self.roll(i, now, 20));
                let more: Vec<Line> = l.log[n..]
                    .iter()
                    .take_while(|x| x.at + delay <= now)
                    .cloned()
                    .collect();
                let s = &mut self.servers[i];
                s.term = term;
                if s.log.len() > n {
                    s.cut_back(n);
                    s.busy = now + 100;
                }
                s.got.extend(more.iter().map(|_| now));
                s.log.extend(more);
            }
            let late = self.lag(i, now);
            let s = &mut self.servers[i];
            let ripe = s.got[s.applied..]
                .iter()
                .take_while(|t| **t + late <= now)
                .count();
            s.apply(s.applied + ripe);
        }
    }

    /// Answers a call that names who leads next; `Ok(false)` when it is under way.
    pub fn accept(&mut self, now: u64, name: &str, token: u64) -> Result<bool, bool> {
        let i = self
            .servers
            .iter()
            .position(|s| s.name == name && s.up)
            .ok_or(false)?;
        let seen = self
            .tokens
            .entry(self.servers[i].service.clone())
            .or_default();
        if token < *seen {
            return Err(false);
        }
        *seen = token;
        if !self.servers[i].leads {
            let at = now + 600 + mix(self.seed ^ now) % 400;
            self.moves.push((at, i));
        }
        Ok(false)
    }

    fn lead(&mut self, now: u64, i: usize) {
        let service = self.servers[i].service.clone();
        let old = self.leader[&service];
        if old == i || !self.servers[i].up {
            return;
        }
        if self.flaw == Flaw::LeadsWithLess {
            let n = self.servers[i].log.len().saturating_sub(5);
            self.servers[i].cut_back(n);
        }
        let n = shared(&self.servers[i].log, &self.servers[old].log);
        let term = self.servers[old].term + 1;
        let lost: Vec<Cut> = self.servers[old].log[n..]
            .iter()
            .map(|l| Cut {
                at: now,
                id: l.id.clone(),
                service: service.clone(),
            })
            .collect();
        self.cut.extend(lost);
        self.servers[old].leads = false;
        self.servers[old].term = term;
        let s = &mut self.servers[i];
        s.cut_back(n);
        s.apply(n);
        (s.leads, s.term) = (true, term);
        self.leader.insert(service, i);
    }

    pub fn crash(&mut self, i: usize) {
        self.servers[i].up = false;
        self.servers[i].conns.clear();
    }
}
