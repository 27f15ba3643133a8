//! Runs composed of two or three faults that overlap: the seed names the pair, so that all pairs are reached.

use crate::fault::Fault;
use crate::fault::{Fault::*, Mood};
use crate::scripts::{apart, db, domain, others};
use crate::sim::*;
use tenet::base::*;

type Make = fn(&mut Sim, Time) -> Vec<(Time, Fault)>;

fn starts(t: Time) -> Vec<(Time, Fault)> {
    (0..3).map(|i| (t, Start(i))).collect()
}

fn node(s: &mut Sim) -> usize {
    s.roll(s.nodes.len() as u64) as usize
}

pub const KINDS: &[(&str, Make)] = &[
    ("crash", |s, t| {
        let d = db(s);
        vec![(t, Crash(d.clone())), (t + 9000, Restart(format!("{d}-0")))]
    }),
    ("retire", |s, t| vec![(t, Retire(db(s)))]),
    ("silence", |s, t| {
        vec![
            (t, CutServer(db(s), s.roll(3) as u8)),
            (t + 1000 + s.roll(6000), Heal),
        ]
    }),
    ("stall", |s, t| {
        let n = format!("{}-{}", db(s), 1 + s.roll(2));
        vec![(t, Stall(n.clone(), true)), (t + 7000, Stall(n, false))]
    }),
    ("freeze-fencer", |s, t| {
        vec![
            (t, FreezeFencer(db(s), s.roll(2) as usize)),
            (t + 300 + s.roll(6000), ThawAll),
        ]
    }),
    ("freeze", |s, t| {
        let i = node(s);
        vec![(t, Freeze(i)), (t + 300 + s.roll(6000), Thaw(i))]
    }),
    ("kill", |s, t| {
        let i = node(s);
        vec![(t, Kill(i)), (t + 500 + s.roll(6000), Start(i))]
    }),
    ("stop", |s, t| {
        let i = node(s);
        vec![(t, Stop(i)), (t + 5000, Start(i))]
    }),
    ("power", |s, t| {
        let d = domain(s);
        vec![(t, KillDomain(d.clone())), (t + 7000, StartDomain(d))]
    }),
    ("cut", |s, t| {
        let d = domain(s);
        let mut v = apart(s, &d, true, t);
        v.push((t + 7000, Heal));
        v
    }),
    ("one-way", |s, t| {
        let d = domain(s);
        let mut v = apart(s, &d, false, t);
        v.push((t + 7000, Heal));
        v
    }),
    ("two-apart", |s, t| {
        let d = domain(s);
        let o = others(s, &d).remove(0);
        vec![
            (t, Cut(d.clone(), o.clone())),
            (t, Cut(o, d)),
            (t + 7000, Heal),
        ]
    }),
    ("answers-vanish", |s, t| {
        vec![(t, LoseAnswers(5 + s.roll(10))), (t + 5000, LoseAnswers(0))]
    }),
    ("platform", |s, t| {
        let m = [
            Mood::Unreachable,
            Mood::Refuses,
            Mood::Slow,
            Mood::LosesAnswer,
            Mood::Quick,
        ][s.roll(5) as usize];
        vec![(t, Platform(m)), (t + 8000, Platform(Mood::Good))]
    }),
    ("evacuate", |s, t| {
        let d = domain(s);
        vec![
            (t, Evacuate(d.clone(), true)),
            (t + 9000, Evacuate(d, false)),
        ]
    }),
    ("drain", |s, t| {
        vec![(t, Drain(format!("{}-0", db(s)), true))]
    }),
    ("operators", |s, t| {
        let r = s.roll(100);
        vec![
            (t, Configure),
            (t + r, Configure),
            (t + r, StaleConfigure),
            (t + 200, BadConfigure),
            (t + 2000, Configure),
        ]
    }),
    ("head", |_, t| {
        [vec![(t, KillHead)], starts(t + 5000)].concat()
    }),
    ("tail", |_, t| {
        [vec![(t, KillTail)], starts(t + 5000)].concat()
    }),
    ("new-disk", |s, t| {
        let i = s.roll(3) as usize;
        vec![(t, Wipe(i)), (t + 100 + s.roll(3000), Start(i))]
    }),
    ("moved", |s, t| vec![(t, Move(node(s), s.roll(9)))]),
    ("full-disk", |s, t| {
        let i = s.roll(3) as usize;
        vec![
            (t, FullDisk(i, true)),
            (t + 300, Configure),
            (t + 6000, FullDisk(i, false)),
            (t + 6500, Start(i)),
        ]
    }),
    ("replace", |s, t| {
        let n = format!("{}-{}", db(s), 1 + s.roll(2));
        vec![(t, Crash(n.clone())), (t + 3000, Replace(n))]
    }),
];

pub fn drawn(seed: u64) -> [usize; 2] {
    let n = KINDS.len();
    let mut k = seed as usize % (n * (n - 1) / 2);
    let mut i = 0;
    while k >= n - 1 - i {
        k -= n - 1 - i;
        i += 1;
    }
    [i, i + 1 + k]
}

pub fn composed(s: &mut Sim) -> Vec<(Time, Fault)> {
    let [a, b] = drawn(s.seed);
    let swap = s.roll(2) == 0;
    let (a, b) = if swap { (b, a) } else { (a, b) };
    let mut t = 12_000 + s.roll(1000);
    let mut v = (KINDS[a].1)(s, t);
    t += s.roll(3500);
    v.extend((KINDS[b].1)(s, t));
    let third = s.roll(2 * KINDS.len() as u64) as usize;
    let alone = ["new-disk", "full-disk", "replace", "crash", "power"];
    if let Some((_, f)) = KINDS.get(third).filter(|k| !alone.contains(&k.0)) {
        t += s.roll(3500);
        v.extend(f(s, t));
    }
    v.push((28_000, Rebuild));
    v
}
