//! The fleet that is measured: its size, configuration, control state and what its nodes would report.

use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use tenet::base::*;
use tenet::config::Config;
use tenet::disk::{Durable, Seat, View};
use tenet::effect::Start;
use tenet::place::{place, Roles};
use tenet::state::*;
use tenet::wire::{Sight, Summary, WIRE};

pub const VOTERS: usize = 3;
pub const REGIONS: usize = 9;
pub const ZONES: usize = 24;

/// A settled fleet: 3 voters and `nodes` followers over 24 zones of 9 regions, `dbs` databases
/// with a server in each of 3 home regions, `routes` rules, and the past that a running one keeps.
#[derive(Clone)]
pub struct Scene {
    pub nodes: usize,
    pub dbs: usize,
    pub routes: usize,
}

pub fn addr(kind: u8, i: usize) -> Addr {
    let mut ip = [0; 16];
    ip[8] = kind;
    ip[12..].copy_from_slice(&(i as u32 + 1).to_be_bytes());
    Addr { ip, port: 7000 }
}

fn zone(i: usize) -> String {
    format!("zone-{:02}", i % ZONES)
}

fn region(i: usize) -> String {
    format!("region-{}", i % REGIONS)
}

fn name(d: usize) -> String {
    format!("d{d:05}")
}

pub fn seat(i: usize) -> Seat {
    Seat {
        id: mix(seed(i)) | 1,
        addr: addr(1, i),
    }
}

fn seed(i: usize) -> u64 {
    mix(i as u64 + 1)
}

impl Scene {
    pub fn all(&self) -> usize {
        self.nodes + VOTERS
    }

    /// The configuration text; `turn` changes one number in it.
    pub fn text(&self, turn: u32) -> String {
        let map =
            |n: usize, f: &dyn Fn(usize) -> (String, Value)| (0..n).map(f).collect::<Map<_, _>>();
        let domains = map(ZONES, &|z| (zone(z), json!({ "region": region(z) })));
        let dbs = map(self.dbs, &|d| {
            let homes: Vec<String> = (0..3).map(|h| region(d + h)).collect();
            (
                name(d),
                json!({ "servers": format!("db={}", name(d)), "homes": homes, "cap": 80 }),
            )
        });
        let rules: Vec<Value> = (0..self.routes)
            .map(|r| json!({ "name": format!("r{r:05}"), "kinds": "name=read", "rank": r, "servers": format!("tier=t{r}") }))
            .collect();
        json!({
            "name": "slopes", "domains": domains, "databases": dbs, "rules": rules,
            "kinds": { "write": { "writes": true }, "read": { "fresh": { "within_ms": 1500 } } },
            "pool": { "queue": 200 + turn, "warm_start": 2, "warm_ms": 4000, "keep_idle_ms": 600000 },
        })
        .to_string()
    }

    pub fn state(&self) -> State {
        let text = self.text(0);
        let cfg = Config::parse(&text).unwrap_or_else(|e| panic!("{}", e.join("; ")));
        let mark = 10_000;
        let mut st = State {
            cluster: 7,
            mark,
            cfg_mark: 5,
            cfg: text.as_str().into(),
            ..State::default()
        };
        for i in 0..self.all() {
            let s = seat(i);
            let m = Member {
                id: s.id,
                addr: s.addr,
                http: s.addr,
                domain: zone(i),
                disk: i < VOTERS,
                phase: "full".into(),
                at: 5,
            };
            st.members.insert(s.id, m);
        }
        for d in 0..self.dbs {
            let n = name(d);
            for h in 0..3 {
                let s = format!("{n}-{h}");
                let labels = BTreeMap::from([("db".to_string(), n.clone())]);
                let at = addr(2, d * 3 + h);
                st.servers.insert(
                    s.clone(),
                    Server {
                        name: s,
                        addr: at,
                        domain: zone((d + h) % REGIONS),
                        labels,
                        life: 9,
                        leads: h == 0,
                        terms: false,
                        seq: 0,
                        leaving: false,
                    },
                );
            }
            let heirs = (1..3).map(|h| (format!("{n}-{h}"), 9)).collect();
            let db = Db {
                epoch: 5,
                since: 5,
                phase: "steady".into(),
                primary: Some(format!("{n}-0")),
                heirs,
                ..Db::default()
            };
            st.dbs.insert(n.clone(), db);
            let p = place(&cfg, &st, &n, &Roles::unrestricted());
            st.dbs.entry(n).and_modify(|b| {
                p.into_iter()
                    .for_each(|p| (b.fencers, b.gateways) = (p.fencers, p.gateways))
            });
        }
        st.recent = (0..2048)
            .map(|i| {
                (
                    mix(i),
                    i,
                    Verdict {
                        mark: i,
                        reject: None,
                    },
                )
            })
            .collect();
        (0..600).for_each(|i| {
            st.tell(
                1_000_000,
                "configuration",
                format!("configuration {i} accepted over {i}"),
            )
        });
        st
    }

    pub fn view(&self) -> View {
        let v: Vec<Seat> = (0..VOTERS).map(seat).collect();
        View::in_sync(1, 7, v.clone(), v)
    }

    pub fn start(&self, i: usize, st: &State) -> Start {
        let s = seat(i);
        let d = Durable {
            id: s.id,
            pledge: self.view().chain,
            view: self.view(),
            whole: 1,
            state: st.clone(),
            ..Durable::default()
        };
        Start {
            found: true,
            founders: vec![],
            copies: 2,
            addr: s.addr,
            http: s.addr,
            domain: zone(i),
            disk: i < VOTERS,
            seeds: (0..VOTERS).map(|i| seat(i).addr).collect(),
            durable: (i < VOTERS).then_some(d),
            seed: seed(i),
            wall: 1_000_000,
            wire: WIRE,
        }
    }

    pub fn summary(&self, i: usize, mark: Mark) -> Summary {
        let s = seat(i);
        Summary {
            id: s.id,
            addr: s.addr,
            http: s.addr,
            domain: zone(i),
            disk: i < VOTERS,
            life: 10_000,
            status: 0,
            view: 1,
            mark,
            allows: i >= VOTERS,
            stopping: false,
        }
    }

    /// What node `i` reports: every server but the primaries that it does not fence.
    pub fn sights(&self, i: usize, st: &State) -> Vec<Sight> {
        let me = seat(i).id;
        let sees = |n: &String, d: &Db| d.primary.as_ref() != Some(n) || d.fencers.contains(&me);
        let of = |s: &Server| {
            s.labels
                .get("db")
                .and_then(|n| st.dbs.get(n))
                .filter(|d| sees(&s.name, d))
        };
        let tell = |s: &Server| {
            of(s).map(|d| Sight {
                server: s.name.clone(),
                life: s.life,
                age: 20,
                reach: true,
                pos: 1000,
                follows: if s.leads {
                    String::new()
                } else {
                    d.primary.clone().unwrap_or_default()
                },
                leads: s.leads,
                link: !s.leads,
            })
        };
        st.servers.values().filter_map(tell).collect()
    }

    pub fn config(&self) -> Arc<Config> {
        Arc::new(Config::parse(&self.text(0)).unwrap_or_else(|e| panic!("{}", e.join("; "))))
    }
}
