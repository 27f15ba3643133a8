//! Scripts that cut control machines off from each other while all others reach them.

use crate::fault::Fault::{self, *};
use crate::scripts::Script;
use crate::sim::Sim;
use tenet::base::Time;

/// When the cuts begin.
pub const CUT_AT: Time = 12_000;
/// When they are healed.
pub const HEALED_AT: Time = 32_000;
const END: Time = 42_000;

/// The control machines: those with a disk.
fn core(sim: &Sim) -> Vec<usize> {
    (0..sim.nodes.len())
        .filter(|i| sim.nodes[*i].disk)
        .collect()
}

fn member(sim: &mut Sim) -> usize {
    let core = core(sim);
    core[sim.roll(core.len() as u64) as usize]
}

/// The processes on a control machine: its own and one that serves callers beside it.
fn machine(sim: &Sim, core: usize) -> Vec<usize> {
    let beside = |i: &usize| !sim.nodes[*i].disk && sim.nodes[*i].domain == sim.nodes[core].domain;
    let flow = (0..sim.nodes.len()).find(beside);
    [core].into_iter().chain(flow).collect()
}

/// Cuts the way from one control machine to another.
fn cut(sim: &Sim, from: usize, to: usize, at: Time) -> Vec<(Time, Fault)> {
    let targets = machine(sim, to);
    machine(sim, from)
        .into_iter()
        .flat_map(|a| targets.iter().map(move |b| (at, CutLink(a, *b))))
        .collect()
}

/// Cuts one control machine from all others, in the directions asked for.
fn from_core(sim: &Sim, one: usize, at: Time, out: bool, back: bool) -> Vec<(Time, Fault)> {
    let others = core(sim).into_iter().filter(|i| *i != one);
    others
        .flat_map(|other| [(out, one, other), (back, other, one)])
        .filter(|(wanted, ..)| *wanted)
        .flat_map(|(_, from, to)| cut(sim, from, to, at))
        .collect()
}

/// What operators do meanwhile.
fn changes() -> Vec<(Time, Fault)> {
    vec![
        (15_000, Configure),
        (20_000, Configure),
        (26_000, Configure),
    ]
}

fn during(mut faults: Vec<(Time, Fault)>) -> Vec<(Time, Fault)> {
    faults.extend(changes());
    faults.push((HEALED_AT, Heal));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// All scripts of this module.
pub const CUTS: &[Script] = &[
    Script {
        name: "core-calm",
        end: END,
        faults: |_| during(Vec::new()),
    },
    Script {
        name: "core-cut",
        end: END,
        faults: |sim| {
            let one = member(sim);
            during(from_core(sim, one, CUT_AT, true, true))
        },
    },
    Script {
        name: "core-hears-nothing",
        end: END,
        faults: |sim| {
            let one = member(sim);
            during(from_core(sim, one, CUT_AT, false, true))
        },
    },
    Script {
        name: "core-unheard",
        end: END,
        faults: |sim| {
            let one = member(sim);
            during(from_core(sim, one, CUT_AT, true, false))
        },
    },
    Script {
        name: "core-bridge",
        end: END,
        faults: |sim| {
            let core = core(sim);
            let spared = member(sim);
            let ends: Vec<usize> = core.into_iter().filter(|i| *i != spared).collect();
            let mut faults = cut(sim, ends[0], ends[1], CUT_AT);
            faults.extend(cut(sim, ends[1], ends[0], CUT_AT));
            during(faults)
        },
    },
    Script {
        name: "core-two-cuts",
        end: END,
        faults: |sim| {
            let one = member(sim);
            let two = core(sim).into_iter().find(|i| *i != one).unwrap_or(one);
            let mut faults = from_core(sim, one, CUT_AT, true, true);
            faults.push((19_000, Heal));
            faults.extend(from_core(sim, two, 25_000, true, true));
            during(faults)
        },
    },
    Script {
        name: "core-flaps",
        end: END,
        faults: |sim| {
            let one = member(sim);
            let mut faults = Vec::new();
            for round in 0..8 {
                let at = CUT_AT + round * 2_400;
                faults.extend(from_core(sim, one, at, true, true));
                faults.push((at + 1_200, Heal));
            }
            during(faults)
        },
    },
    Script {
        name: "core-frozen",
        end: END,
        faults: |sim| {
            let one = member(sim);
            during(vec![(CUT_AT, Freeze(one)), (20_000, Thaw(one))])
        },
    },
];
