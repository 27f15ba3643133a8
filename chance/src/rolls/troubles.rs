//! What goes wrong beside the planned work.

use super::plan::{shuffled, Plan};
use crate::fault::Fault::*;
use crate::fault::Mood;
use crate::sim::Sim;
use tenet::base::Time;

/// One kind of trouble.
#[derive(Clone, Copy)]
pub(super) enum Trouble {
    /// The control machines are cut in two halves.
    Halves,
    /// One control machine is cut off from the others; nodes and servers still reach it.
    Lure,
    /// Control machines hear others that don't hear them.
    OneWay,
    /// All control machines are killed.
    KillAll,
    /// The platform promotes nobody.
    NoPromotions,
}

pub(super) const TROUBLES: [Trouble; 5] = [
    Trouble::Halves,
    Trouble::Lure,
    Trouble::OneWay,
    Trouble::KillAll,
    Trouble::NoPromotions,
];

/// Causes a trouble from one moment to another.
pub(super) fn cause(
    sim: &mut Sim,
    trouble: Trouble,
    core: &[usize],
    span: (Time, Time),
    plan: &mut Plan,
) {
    let (from, until) = span;
    let order = shuffled(sim, core.to_vec());
    match trouble {
        Trouble::Halves => {
            let half = 1 + sim.roll(core.len() as u64 - 1) as usize;
            let (one, other) = order.split_at(half);
            plan.extend(cuts(one, other, from));
            plan.extend(cuts(other, one, from));
        }
        Trouble::Lure => {
            let (one, others) = order.split_at(1);
            plan.extend(cuts(one, others, from));
            plan.extend(cuts(others, one, from));
        }
        Trouble::OneWay => {
            let one = 1 + sim.roll(core.len() as u64 - 1) as usize;
            let (deaf, heard) = order.split_at(one);
            plan.extend(cuts(heard, deaf, from));
        }
        Trouble::KillAll => plan.extend(core.iter().map(|i| (from, Kill(*i)))),
        Trouble::NoPromotions => plan.push((from, Platform(Mood::Unreachable))),
    }
    match trouble {
        Trouble::KillAll => {
            let starts = core
                .iter()
                .map(|i| (from + 1_500 + sim.roll(4_000), Start(*i)));
            plan.extend(starts);
        }
        Trouble::NoPromotions => plan.push((until + 5_000, Platform(Mood::Good))),
        _ => plan.push((until, Heal)),
    }
}

fn cuts(from: &[usize], to: &[usize], at: Time) -> Plan {
    let targets = |a: &usize| to.iter().map(|b| (at, CutLink(*a, *b))).collect::<Plan>();
    from.iter().flat_map(targets).collect()
}
