use crate::store::*;
use crate::talk::Conn;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use tenet::config::{Config, Database};

pub type Reply = Result<Value, (u16, String)>;

pub struct Srv {
    pub name: String,
    pub db: String,
    pub domain: String,
    pub up: bool,
    pub stalled: bool,
    pub leads: bool,
    pub leaving: bool,
    pub read_only: bool,
    pub follows: Option<usize>,
    pub life: u64,
    pub data: Store,
    pub conns: BTreeMap<u64, Conn>,
    pub cap: usize,
    pub lag: u64,
    pub born: u64,
}

#[derive(Clone, Debug)]
pub struct Wrote {
    pub at: u64,
    pub db: String,
    pub server: usize,
    pub id: String,
}

#[derive(Default)]
pub struct World {
    pub servers: Vec<Srv>,
    pub wrote: Vec<Wrote>,
    pub worked: Vec<(u64, usize)>,
    pub faults: Vec<String>,
    pub last_leader: BTreeMap<String, usize>,
    pub opened: u64,
    pub over_cap: u64,
    pub most: BTreeMap<String, usize>,
    pub cold: BTreeMap<String, usize>,
    pub cold_limit: usize,
    pub apart: Vec<(usize, usize)>,
    pub(crate) next: u64,
}

pub struct Shape {
    pub dbs: Vec<(String, Vec<String>, usize)>,
    pub lag: u64,
}

impl Shape {
    pub fn of(c: &Config, lag: u64) -> Shape {
        let near = |d: &Database| -> Vec<String> {
            let home = |r: &String| d.homes.contains(r);
            c.domains
                .iter()
                .filter(|(_, x)| home(&x.region))
                .map(|(n, _)| n.clone())
                .collect()
        };
        Shape {
            dbs: c
                .databases
                .iter()
                .map(|(n, d)| (n.clone(), near(d), d.cap as usize))
                .collect(),
            lag,
        }
    }
}

impl World {
    pub fn new(s: &Shape) -> World {
        let mut w = World {
            next: 100,
            ..World::default()
        };
        for (i, (db, domains, cap)) in s.dbs.iter().enumerate() {
            let base = w.servers.len();
            w.last_leader.insert(db.to_string(), base);
            for k in 0..3 {
                let domain = domains[(i + k) % domains.len()].as_str();
                let life = w.fresh();
                w.servers.push(Srv {
                    name: format!("{db}-{k}"),
                    db: db.to_string(),
                    domain: domain.into(),
                    up: true,
                    stalled: false,
                    leads: k == 0,
                    leaving: false,
                    read_only: false,
                    follows: (k != 0).then_some(base),
                    life,
                    data: Store::default(),
                    conns: BTreeMap::new(),
                    cap: *cap,
                    lag: s.lag,
                    born: 0,
                });
            }
        }
        w
    }

    pub(crate) fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn ix(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.name == name)
    }

    pub fn announcement(&self, i: usize, addr: &str) -> Value {
        let s = &self.servers[i];
        json!({"server": s.name, "addr": addr, "domain": s.domain, "labels": {"db": s.db},
            "life": s.life, "leads": s.leads, "leaving": s.leaving})
    }

    pub fn tick(&mut self, now: u64) {
        for i in 0..self.servers.len() {
            self.regroup(now, i);
            let s = &self.servers[i];
            let from = s
                .follows
                .filter(|f| s.up && !s.stalled && self.servers[*f].up && self.reach(i, *f));
            if let Some(f) = from {
                let src = self.servers[f]
                    .data
                    .clone_tail(self.servers[i].data.log.len());
                let lag = self.servers[i].lag;
                self.servers[i].data.take(src, |l| l.at + lag <= now);
            }
        }
    }

    pub fn reach(&self, i: usize, j: usize) -> bool {
        !self.apart.contains(&(i, j))
    }

    fn regroup(&mut self, now: u64, i: usize) {
        let s = &self.servers[i];
        let lead = self
            .last_leader
            .get(&s.db)
            .copied()
            .filter(|l| *l != i && s.follows != Some(*l));
        if let Some(l) = lead.filter(|l| s.up && !s.leads && self.reach(i, *l)) {
            let life = self.fresh();
            self.rebuild(now, i, l, life);
        }
    }

    pub fn crash(&mut self, i: usize) {
        let s = &mut self.servers[i];
        s.up = false;
        s.conns.clear();
    }

    pub fn leader(&self, db: &str) -> Option<usize> {
        self.last_leader.get(db).copied()
    }

    pub fn restart(&mut self, now: u64, i: usize) {
        let db = self.servers[i].db.clone();
        let life = self.fresh();
        let other = self.last_leader.get(&db).copied().filter(|l| *l != i);
        if let Some(l) = other {
            self.rebuild(now, i, l, life);
        }
        let s = &mut self.servers[i];
        (s.up, s.leaving, s.stalled, s.born) = (true, false, false, now);
        s.conns.clear();
    }

    fn rebuild(&mut self, now: u64, i: usize, leader: usize, life: u64) {
        let keep = self.servers[i].data.prefix_of(&self.servers[leader].data);
        let fresh = self.servers[i].leads;
        let s = &mut self.servers[i];
        s.follows = Some(leader);
        s.leads = false;
        s.read_only = false;
        if !keep || fresh {
            s.life = life;
            s.data = Store::default();
            s.born = now;
        }
        if !keep || fresh {
            let src = self.servers[leader].data.clone_tail(0);
            let lag = self.servers[i].lag;
            self.servers[i].data.take(src, |l| l.at + lag <= now);
        }
    }

    pub fn replace(&mut self, now: u64, i: usize) {
        let life = self.fresh();
        let db = self.servers[i].db.clone();
        let s = &mut self.servers[i];
        (s.life, s.data, s.up, s.leaving, s.leads, s.born) =
            (life, Store::default(), true, false, false, now);
        s.conns.clear();
        self.servers[i].follows = self.last_leader.get(&db).copied();
    }

    pub fn promote(&mut self, now: u64, name: &str) -> Reply {
        let i = self.ix(name).ok_or((404, format!("no server {name}")))?;
        if !self.servers[i].up {
            return Err((409, format!("{name} is down")));
        }
        if self.servers[i].leads {
            return Ok(json!({"leads": name}));
        }
        let db = self.servers[i].db.clone();
        self.servers[i].leads = true;
        self.servers[i].follows = None;
        self.last_leader.insert(db.clone(), i);
        (0..self.servers.len()).for_each(|j| self.regroup(now, j));
        Ok(json!({"leads": name}))
    }

    pub fn note_conns(&mut self, now: u64, i: usize) {
        let n = self.servers[i].conns.len();
        let s = &self.servers[i];
        let e = self.most.entry(s.name.clone()).or_default();
        *e = (*e).max(n);
        if s.born > 0 && now < s.born + 500 {
            let e = self
                .cold
                .entry(format!("{}@{}", s.name, s.born))
                .or_default();
            *e = (*e).max(n);
        }
    }
}

impl Store {
    pub fn clone_tail(&self, from: usize) -> Vec<Line> {
        self.log
            .get(from..)
            .map_or(Vec::new(), |v| v.iter().take(2000).cloned().collect())
    }

    pub fn take(&mut self, lines: Vec<Line>, ripe: impl Fn(&Line) -> bool) {
        lines
            .into_iter()
            .take_while(ripe)
            .for_each(|l| self.put_line(l));
    }
}
