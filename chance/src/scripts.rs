//! The scripts by name: for each its length and the faults it causes when, in ms of virtual time.

use crate::cuts::CUTS;
use crate::fault::{Fault, Fault::*, Mood};
use crate::losses;
pub(crate) use crate::picks::*;
use crate::sim::*;
use tenet::base::*;

pub struct Script {
    pub name: &'static str,
    pub end: Time,
    pub faults: fn(&mut Sim) -> Vec<(Time, Fault)>,
}

pub const ALL: &[Script] = &[
    Script {
        name: "calm",
        end: 20_000,
        faults: |_| vec![],
    },
    Script {
        name: "crash",
        end: 28_000,
        faults: |s| {
            let d = db(s);
            vec![
                (12_000, Crash(d.clone())),
                (20_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "retire",
        end: 26_000,
        faults: |s| {
            let d = db(s);
            vec![(12_000, Retire(d))]
        },
    },
    Script {
        name: "two-crashes",
        end: 44_000,
        faults: |s| {
            let d = db(s);
            vec![
                (12_000, Crash(d.clone())),
                (18_000, Restart(format!("{d}-0"))),
                (28_000, Crash(d.clone())),
                (34_000, Restart(format!("{d}-1"))),
                (34_000, Restart(format!("{d}-2"))),
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
                (14_000, Crash(d)),
                (24_000, LoseAnswers(0)),
            ]
        },
    },
    Script {
        name: "replica-stall",
        end: 30_000,
        faults: |s| {
            let d = db(s);
            vec![
                (10_000, Stall(format!("{d}-1"), true)),
                (14_000, Crash(d.clone())),
                (20_000, Stall(format!("{d}-1"), false)),
            ]
        },
    },
    Script {
        name: "freeze-fencer",
        end: 34_000,
        faults: |s| {
            let (d, t) = (db(s), 11_000 + s.roll(3000));
            let k = s.roll(2) as usize;
            vec![
                (t, FreezeFencer(d.clone(), k)),
                (12_500, Crash(d)),
                (22_000, ThawAll),
            ]
        },
    },
    Script {
        name: "freeze-any",
        end: 34_000,
        faults: |s| {
            let (d, i) = (db(s), s.roll(s.nodes.len() as u64) as usize);
            let (a, b) = (10_000 + s.roll(4000), 15_000 + s.roll(5000));
            vec![(a, Freeze(i)), (12_000, Crash(d)), (b, Thaw(i))]
        },
    },
    Script {
        name: "domain-power",
        end: 44_000,
        faults: |s| {
            let d = domain(s);
            vec![(12_000, KillDomain(d.clone())), (28_000, StartDomain(d))]
        },
    },
    Script {
        name: "freeze-steps",
        end: 36_000,
        faults: |s| {
            let (d, k) = (db(s), s.roll(2) as usize);
            let t = 11_900 + s.roll(4500);
            let b = t + 300 + s.roll(6000);
            vec![
                (12_000, Crash(d.clone())),
                (t, FreezeFencer(d, k)),
                (b, ThawAll),
            ]
        },
    },
    Script {
        name: "retire-freeze",
        end: 40_000,
        faults: |s| {
            let (d, i) = (db(s), s.roll(s.nodes.len() as u64) as usize);
            let t = 12_000 + s.roll(5000);
            vec![
                (12_000, Retire(d)),
                (t, Freeze(i)),
                (t + 500 + s.roll(5000), Thaw(i)),
            ]
        },
    },
    Script {
        name: "target-dies",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let t = 13_300 + s.roll(2000);
            vec![(12_000, Crash(d.clone())), (t, CrashTarget(d))]
        },
    },
    Script {
        name: "region-gone",
        end: 50_000,
        faults: |s| {
            let d = domain(s);
            vec![(12_000, KillDomain(d))]
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
        name: "domain-cut",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            let mut v = apart(s, &d, true, 12_000);
            v.push((24_000, Heal));
            v
        },
    },
    Script {
        name: "one-way",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            let mut v = apart(s, &d, false, 12_000);
            v.push((24_000, Heal));
            v
        },
    },
    Script {
        name: "two-apart",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            let o = others(s, &d).remove(0);
            vec![
                (12_000, Cut(d.clone(), o.clone())),
                (12_000, Cut(o, d)),
                (24_000, Heal),
            ]
        },
    },
    Script {
        name: "evacuate",
        end: 40_000,
        faults: |s| {
            let d = domain(s);
            vec![
                (12_000, Evacuate(d.clone(), true)),
                (12_050, Configure),
                (26_000, Evacuate(d, false)),
            ]
        },
    },
    Script {
        name: "total-loss",
        end: 40_000,
        faults: |_| vec![(12_000, Configure), (13_000, KillAll), (15_000, StartAll)],
    },
    Script {
        name: "chain-head",
        end: 36_000,
        faults: |s| {
            let d = db(s);
            vec![
                (12_000, KillHead),
                (12_000, Crash(d)),
                (13_000, Configure),
                (20_000, Start(0)),
                (20_000, Start(1)),
                (20_000, Start(2)),
            ]
        },
    },
    Script {
        name: "chain-tail",
        end: 36_000,
        faults: |_| {
            vec![
                (11_950, Configure),
                (12_000, KillTail),
                (13_000, Configure),
                (20_000, Start(0)),
                (20_000, Start(1)),
                (20_000, Start(2)),
                (26_000, KillHead),
            ]
        },
    },
    Script {
        name: "new-disk",
        end: 40_000,
        faults: |s| {
            let i = s.roll(3) as usize;
            vec![
                (12_000, Wipe(i)),
                (14_000, Start(i)),
                (24_000, Configure),
                (26_000, Kill((i + 1) % 3)),
                (30_000, Configure),
            ]
        },
    },
    Script {
        name: "rolling",
        end: 60_000,
        faults: |s| {
            (0..s.nodes.len())
                .flat_map(|i| {
                    let t = 10_000 + 4000 * i as u64;
                    [(t, Kill(i)), (t + 1500, Start(i))]
                })
                .collect()
        },
    },
    Script {
        name: "replace-servers",
        end: 60_000,
        faults: |s| {
            let d = db(s);
            (0..3)
                .flat_map(|k| {
                    let n = format!("{d}-{}", 2 - k);
                    let t = 12_000 + 15_000 * k;
                    [(t, Crash(n.clone())), (t + 5000, Replace(n))]
                })
                .collect()
        },
    },
    Script {
        name: "platform-lost",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            vec![
                (10_000, Platform(Mood::LosesAnswer)),
                (12_000, Crash(d)),
                (20_000, Platform(Mood::Good)),
            ]
        },
    },
    Script {
        name: "platform-away",
        end: 44_000,
        faults: |s| {
            let d = db(s);
            let m = [Mood::Unreachable, Mood::Refuses, Mood::Slow][s.roll(3) as usize];
            vec![
                (10_000, Platform(m)),
                (12_000, Crash(d)),
                (22_000, Platform(Mood::Good)),
            ]
        },
    },
    Script {
        name: "operators",
        end: 30_000,
        faults: |s| {
            let t = 11_000 + s.roll(200);
            vec![
                (11_000, Configure),
                (t, Configure),
                (t, StaleConfigure),
                (12_000, BadConfigure),
                (13_000, Configure),
                (13_001, Configure),
            ]
        },
    },
    Script {
        name: "lone-node",
        end: 40_000,
        faults: |s| {
            let i = s.roll(s.nodes.len() as u64) as usize;
            vec![(12_000, CutNode(i)), (13_000, Configure), (22_000, Heal)]
        },
    },
    Script {
        name: "silent-primary",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let (way, heal) = (s.roll(3) as u8, 13_000 + s.roll(9000));
            let m = [Mood::Good, Mood::Quick][s.roll(2) as usize];
            vec![
                (11_000, Platform(m)),
                (12_000, CutServer(d.clone(), way)),
                (heal, Heal),
                (26_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "thaw-in-permit",
        end: 40_000,
        faults: |s| {
            let (d, k) = (db(s), s.roll(2) as usize);
            let (t, b) = (12_000 + s.roll(80), 13_000 + s.roll(500));
            s.cfg.timeouts.detect_ms = 300;
            vec![
                (11_000, Platform(Mood::Quick)),
                (12_000, CutServer(d.clone(), 0)),
                (t, FreezeFencer(d.clone(), k)),
                (b, Heal),
                (b + 5, ThawAll),
                (26_000, Restart(format!("{d}-0"))),
            ]
        },
    },
    Script {
        name: "deaf-replica",
        end: 40_000,
        faults: |s| {
            let d = db(s);
            let k = 1 + s.roll(2);
            vec![
                (10_000, CutServer(format!("{d}-{k}"), 0)),
                (12_000 + s.roll(4000), Crash(d)),
                (20_000, Heal),
            ]
        },
    },
    Script {
        name: "stops",
        end: 64_000,
        faults: |s| {
            (0..s.nodes.len())
                .flat_map(|i| {
                    let t = 10_000 + 4200 * i as u64;
                    [(t, Stop(i)), (t + 5500, Start(i))]
                })
                .collect()
        },
    },
    Script {
        name: "stop-anytime",
        end: 40_000,
        faults: |s| {
            let (d, z, i) = (db(s), domain(s), s.roll(s.nodes.len() as u64) as usize);
            let f = [
                Crash(d.clone()),
                Retire(d),
                Evacuate(z.clone(), true),
                KillHead,
            ][s.roll(4) as usize]
                .clone();
            let t = 12_000 + s.roll(5000);
            vec![
                (12_000, f),
                (t, Stop(i)),
                (t + 6000, Start(i)),
                (24_000, Evacuate(z, false)),
                (24_000, Start(0)),
                (24_000, Start(1)),
                (24_000, Start(2)),
            ]
        },
    },
    Script {
        name: "full-disk",
        end: 44_000,
        faults: |s| {
            let i = s.roll(3) as usize;
            vec![
                (12_000, FullDisk(i, true)),
                (12_500, Configure),
                (14_000, Start(i)),
                (16_000, Configure),
                (20_000, FullDisk(i, false)),
                (21_000, Start(i)),
                (30_000, Kill((i + 1) % 3)),
                (31_000, Configure),
            ]
        },
    },
    Script {
        name: "moved",
        end: 50_000,
        faults: |s| {
            let n = s.nodes.len() as u64;
            let mut v = Vec::new();
            for k in 0..4 {
                let (i, to) = (
                    if k < 3 {
                        k as usize
                    } else {
                        3 + s.roll(n - 3) as usize
                    },
                    s.roll(9),
                );
                v.extend([
                    (12_000 + 7000 * k, Move(i, to)),
                    (14_000 + 7000 * k, Configure),
                ]);
            }
            v
        },
    },
    Script {
        name: "upgrade",
        end: 64_000,
        faults: |s| {
            let (n, back) = (s.nodes.len(), s.seed % 2 == 0);
            s.watch.unplanned = true;
            s.nodes
                .iter_mut()
                .for_each(|n| n.wire = if back { 2 } else { 1 });
            (0..n)
                .flat_map(|i| {
                    let t = 10_000 + 4200 * i as u64;
                    [
                        (t, Stop(i)),
                        (t + 5400, Wire(i, if back { 1 } else { 2 })),
                        (t + 5500, Start(i)),
                    ]
                })
                .collect()
        },
    },
    Script {
        name: "relabel",
        end: 26_000,
        faults: |s| vec![(12_000, Relabel(format!("{}-{}", db(s), 1 + s.roll(2))))],
    },
    Script {
        name: "pairs",
        end: 50_000,
        faults: crate::pairs::composed,
    },
    Script {
        name: "storm",
        end: 70_000,
        faults: |s| {
            let mut v = Vec::new();
            for k in 0..6 {
                let t = 10_000 + 8000 * k + s.roll(1500);
                let (d, z, i) = (db(s), domain(s), s.roll(s.nodes.len() as u64) as usize);
                match s.roll(6) {
                    0 => v.extend([
                        (t, Crash(d.clone())),
                        (t + 6000, Restart(format!("{d}-{}", s.roll(3)))),
                        (t + 6100, Restart(format!("{d}-0"))),
                    ]),
                    1 => v.extend([(t, Freeze(i)), (t + 4000, Thaw(i))]),
                    2 => v.extend([(t, Kill(i)), (t + 3000, Start(i))]),
                    3 => v.extend([
                        (t, Cut(z.clone(), others(s, &z)[0].clone())),
                        (t + 6000, Heal),
                    ]),
                    4 => v.extend([(t, LoseAnswers(8)), (t + 5000, LoseAnswers(0))]),
                    _ => v.extend([
                        (t, Configure),
                        (t + 100, KillHead),
                        (t + 3000, Start(0)),
                        (t + 3000, Start(1)),
                        (t + 3000, Start(2)),
                    ]),
                }
            }
            v
        },
    },
];

pub const FROZEN_SEND: Script = Script {
    name: "frozen-send",
    end: 40_000,
    faults: |s| {
        let d = db(s);
        let at = s
            .world
            .leader(&d)
            .map(|l| s.world.servers[l].domain.clone())
            .unwrap_or_default();
        let mut v = apart(s, &at, true, 12_000);
        v.extend([
            (11_500, FreezeSending(d, 0)),
            (24_000, Heal),
            (24_500, ThawAll),
        ]);
        v
    },
};

pub fn find(n: &str) -> Option<&'static Script> {
    ALL.iter()
        .chain(CUTS)
        .chain(losses::all())
        .find(|s| s.name == n)
}
