//! Scripts for servers that number their terms, with a configuration as the platform's adapter makes it.

use crate::fault::{Fault, Fault::*, Mood};
use crate::scripts::{apart, db, domain, others, Script};
use crate::sim::*;
use guise::termed::Flaw;
use serde_json::{json, Map, Value};
use tenet::base::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
pub(crate) const SERVICES: [&str; 3] = ["grain", "herds", "wool"];
pub(crate) const BOUNDS: [u64; 2] = [1500, 2500];

/// A configuration as the platform's doors make it.
pub fn text(patience: u64) -> String {
    let domains: Map<String, Value> = ZONES
        .iter()
        .map(|z| (z.to_string(), json!({ "region": z })))
        .collect();
    let can = json!({"outcomes": false, "guards": true, "keeps_state": false, "confirms": false});
    let db = |n: &str| json!({"servers": format!("db={n}"), "homes": ZONES, "cap": 68, "can": can, "detour": false});
    let databases: Map<String, Value> = SERVICES.iter().map(|n| (n.to_string(), db(n))).collect();
    let [b, o] = BOUNDS;
    let kinds = json!({"write": {"writes": true}, "current": {}, "bounded": {"fresh": {"within_ms": b}},
        "owned": {"fresh": {"within_ms": o, "own_changes": true}}});
    let mut entries = Map::new();
    for n in SERVICES {
        for k in ["current", "bounded", "owned"] {
            entries.insert(
                format!("{n}-{k}"),
                json!({"database": n, "reads": k, "writes": "write", "statement_ms": 800,
                "request_ms": 800 + patience, "patience_ms": patience}),
            );
        }
    }
    json!({"name": "termed", "domains": domains, "databases": databases, "kinds": kinds, "entries": entries,
        "evacuates_nodes": false, "pool": {"queue": 400, "warm_start": 1000, "warm_ms": 1, "keep_idle_ms": 600_000},
        "timeouts": {"detect_ms": 700, "transaction_drain_ms": 2500, "transaction_idle_ms": 3000}})
    .to_string()
}

/// The days of a fleet whose servers number their terms.
pub const TERMED: &[Script] = &[
    Script {
        name: "calm",
        end: 18_000,
        faults: |_| vec![(12_000, Configure)],
    },
    Script {
        name: "crash",
        end: 28_000,
        faults: |s| {
            let d = db(s);
            vec![
                (12_000 + s.roll(1000), Crash(d.clone())),
                (20_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "crash-soon-back",
        end: 28_000,
        faults: |s| {
            let d = db(s);
            vec![
                (12_000, Crash(d.clone())),
                (12_200 + s.roll(5000), Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "dark",
        end: 30_000,
        faults: |s| {
            let (d, way) = (db(s), s.roll(3) as u8);
            vec![(12_000, CutServer(d, way)), (13_000 + s.roll(8000), Heal)]
        },
    },
    Script {
        name: "retire",
        end: 30_000,
        faults: |s| vec![(12_000 + s.roll(1000), Retire(db(s)))],
    },
    Script {
        name: "evacuate",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            vec![
                (12_000 + s.roll(1000), Evacuate(d.clone(), true)),
                (26_000, Evacuate(d, false)),
            ]
        },
    },
    Script {
        name: "bridge",
        end: 36_000,
        faults: |s| {
            let d = domain(s);
            let o = others(s, &d).remove(s.roll(2) as usize);
            vec![
                (12_000, Cut(d.clone(), o.clone())),
                (12_000, Cut(o, d)),
                (20_000 + s.roll(4000), Heal),
            ]
        },
    },
    Script {
        name: "one-way",
        end: 36_000,
        faults: |s| {
            let d = domain(s);
            let mut v = apart(s, &d, false, 12_000);
            v.push((20_000 + s.roll(4000), Heal));
            v
        },
    },
    Script {
        name: "domain-cut",
        end: 36_000,
        faults: |s| {
            let d = domain(s);
            let mut v = apart(s, &d, true, 12_000);
            v.push((20_000 + s.roll(4000), Heal));
            v
        },
    },
    Script {
        name: "domain-power",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            vec![(12_000, KillDomain(d.clone())), (24_000, StartDomain(d))]
        },
    },
    Script {
        name: "node-kill",
        end: 30_000,
        faults: |s| {
            let i = s.roll(s.nodes.len() as u64) as usize;
            vec![(12_000, Kill(i)), (15_000 + s.roll(4000), Start(i))]
        },
    },
    Script {
        name: "freeze-fencer",
        end: 34_000,
        faults: |s| {
            let (d, t, k) = (db(s), 11_000 + s.roll(3000), s.roll(2) as usize);
            vec![
                (t, FreezeFencer(d.clone(), k)),
                (12_500, Crash(d.clone())),
                (t + 400 + s.roll(7000), ThawAll),
                (22_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "answers-vanish",
        end: 30_000,
        faults: |s| {
            let d = db(s);
            vec![
                (10_000, LoseAnswers(10)),
                (14_000, Crash(d.clone())),
                (20_000, Restart(format!("{d}-0"))),
                (24_000, LoseAnswers(0)),
            ]
        },
    },
    Script {
        name: "platform-slow",
        end: 34_000,
        faults: |s| {
            let d = db(s);
            let m = if s.roll(2) == 0 {
                Mood::Slow
            } else {
                Mood::LosesAnswer
            };
            vec![
                (11_000, Platform(m)),
                (12_000, Crash(d.clone())),
                (24_000, Restart(format!("{d}-0"))),
                (24_000, Platform(Mood::Good)),
            ]
        },
    },
    Script {
        name: "platform-away",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            vec![
                (11_000, Platform(Mood::Unreachable)),
                (12_000, Crash(d.clone())),
                (13_000 + s.roll(9000), Restart(format!("{d}-0"))),
                (24_000, Platform(Mood::Good)),
            ]
        },
    },
    Script {
        name: "retire-platform",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let m = if s.roll(2) == 0 {
                Mood::Slow
            } else {
                Mood::LosesAnswer
            };
            vec![
                (11_000, Platform(m)),
                (12_000, Retire(d)),
                (20_000, Platform(Mood::Good)),
            ]
        },
    },
    Script {
        name: "target-dies",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let t = 13_300 + s.roll(3000);
            vec![
                (12_000, Crash(d.clone())),
                (t, CrashTarget(d.clone())),
                (24_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "head-in-failover",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let t = 12_500 + s.roll(4000);
            vec![
                (12_000, Crash(d)),
                (t, KillHead),
                (24_000, Start(0)),
                (24_000, Start(1)),
                (24_000, Start(2)),
            ]
        },
    },
    Script {
        name: "stall",
        end: 30_000,
        faults: |s| {
            let n = format!("{}-{}", db(s), 1 + s.roll(2));
            vec![(11_000, Stall(n.clone(), true)), (20_000, Stall(n, false))]
        },
    },
    Script {
        name: "pairs",
        end: 56_000,
        faults: two,
    },
];

/// Two days at once, the second up to 8 s later.
fn two(s: &mut Sim) -> Vec<(Time, Fault)> {
    let n = TERMED.len() as u64 - 1;
    let (a, b, late) = (s.roll(n) as usize, s.roll(n) as usize, s.roll(8000));
    let mut v = (TERMED[a].faults)(s);
    let second = (TERMED[b].faults)(s);
    v.extend(second.into_iter().map(|(t, f)| (t + late, f)));
    v.extend([
        (44_000, Heal),
        (44_000, ThawAll),
        (44_000, Platform(Mood::Good)),
    ]);
    v
}

pub fn day(n: &str) -> Option<&'static Script> {
    let days = TERMED.iter().chain(crate::races::DAYS);
    days.chain(crate::rolls::DAYS).find(|s| s.name == n)
}

pub fn run_day(sc: &Script, seed: u64, flaw: Flaw) -> Sim {
    let mut s = Sim::new_termed(seed, flaw);
    let f: Vec<(Time, Fault)> = (sc.faults)(&mut s);
    s.script(&f);
    s.run(sc.end);
    s.at_rest(sc.end);
    s
}
