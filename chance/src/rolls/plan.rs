//! What is drawn for a day: who is stopped when, which servers leave how, and the troubles beside it.

use super::leaving::{Departure, Word, DRAIN_BOUND};
use super::troubles::{cause, Trouble, TROUBLES};
use super::RollStep;
use crate::fault::Fault::{self, *};
use crate::fault::Mood;
use crate::repairs::spare;
use crate::scripts::Script;
use crate::sim::Sim;
use tenet::base::Time;

/// Machines that join the control machines on days with five of them.
const JOIN_AT: Time = 4_000;
const FIRST_CHANGE: Time = 12_500;
const LAST_CHANGE: Time = 60_000;
const FIRST_STOP: Time = 13_000;
/// No server leaves later, and no zone sooner than this after the one before.
const LAST_LEAVE: Time = 46_000;
const ZONES_APART: Time = 9_000;
/// From the word to stop to the start of the next process, at least: a stop takes 4 s at most.
const RESTART_AFTER: Time = 4_300;
/// From then on there is no trouble, and each machine runs.
const ALL_WELL: Time = 64_000;
const CONCLUDE_AT: Time = 82_000;
const END: Time = 88_000;

pub(super) type Plan = Vec<(Time, Fault)>;

/// The days of planned work on the whole fleet.
pub const DAYS: &[Script] = &[
    Script {
        name: "roll",
        end: END,
        faults: |sim| day(sim, &[]),
    },
    Script {
        name: "roll-troubles",
        end: END,
        faults: |sim| {
            let troubles = [draw(sim, &TROUBLES), draw(sim, &TROUBLES)];
            day(sim, &troubles)
        },
    },
    Script {
        name: "roll-lure",
        end: END,
        faults: |sim| day(sim, &[Trouble::Lure, Trouble::Lure]),
    },
    Script {
        name: "roll-no-promotions",
        end: END,
        faults: |sim| day(sim, &[Trouble::NoPromotions, Trouble::NoPromotions]),
    },
    Script {
        name: "roll-last-server",
        end: END,
        faults: super::last_server::day,
    },
];

pub(super) fn draw<T: Copy>(sim: &mut Sim, from: &[T]) -> T {
    from[sim.roll(from.len() as u64) as usize]
}

pub(super) fn shuffled(sim: &mut Sim, mut list: Vec<usize>) -> Vec<usize> {
    for last in (1..list.len()).rev() {
        list.swap(last, sim.roll(last as u64 + 1) as usize);
    }
    list
}

pub(super) fn step(at: Time, step: RollStep) -> (Time, Fault) {
    (at, Roll(step))
}

fn day(sim: &mut Sim, troubles: &[Trouble]) -> Plan {
    let mut plan = Plan::new();
    let core = control_machines(sim, &mut plan);
    begin(sim, &core);
    let back = roll_control_machines(sim, &core, &mut plan);
    roll_nodes(sim, &mut plan);
    release_servers(sim, &back, &mut plan);
    orders(sim, &mut plan);
    for (slot, trouble) in troubles.iter().enumerate() {
        let from = 15_000 + 22_000 * slot as Time + sim.roll(14_000);
        let until = from + 3_000 + sim.roll(6_000);
        cause(sim, *trouble, &core, (from, until), &mut plan);
    }
    all_well(sim, &mut plan);
    plan
}

/// This run plays such a day.
pub(super) fn begin(sim: &mut Sim, core: &[usize]) {
    let lost_answers = draw(sim, &[0, 15, 40]);
    let release = &mut sim.watch.release;
    release.playing = true;
    release.control_machines = core.to_vec();
    release.lost_answers = lost_answers;
}

/// Three control machines, or five.
pub(super) fn control_machines(sim: &mut Sim, plan: &mut Plan) -> Vec<usize> {
    if sim.roll(2) == 0 {
        return vec![0, 1, 2];
    }
    sim.nodes.iter_mut().for_each(|node| node.copies = 3);
    let more = [spare(sim, 0), spare(sim, 1)];
    plan.extend(more.map(|i| (JOIN_AT, Start(i))));
    vec![0, 1, 2, more[0], more[1]]
}

/// Stops a machine and starts it again; returns when.
pub(super) fn restart(sim: &mut Sim, machine: usize, at: Time, plan: &mut Plan) -> Time {
    let start = at + RESTART_AFTER + sim.roll(2_500);
    plan.extend([(at, Stop(machine)), (start, Start(machine))]);
    start
}

/// All control machines in turn, one or two at a time. Returns when each is back.
pub(super) fn roll_control_machines(
    sim: &mut Sim,
    core: &[usize],
    plan: &mut Plan,
) -> Vec<(usize, Time)> {
    let order = shuffled(sim, core.to_vec());
    let together = 1 + sim.roll(2) as usize;
    let (mut at, mut back) = (FIRST_STOP + sim.roll(3_000), Vec::new());
    for group in order.chunks(together) {
        let mut last = at;
        for machine in group {
            let stop = at + sim.roll(500);
            let start = restart(sim, *machine, stop, plan);
            back.push((*machine, start));
            last = last.max(start);
        }
        at = last + draw(sim, &[100, 1_000, 3_000]) + sim.roll(1_500);
    }
    back
}

/// A third of the nodes that serve callers.
fn roll_nodes(sim: &mut Sim, plan: &mut Plan) {
    let nodes = (0..sim.nodes.len())
        .filter(|i| !sim.nodes[*i].disk)
        .collect();
    let nodes = shuffled(sim, nodes);
    for node in &nodes[..nodes.len() / 3] {
        let at = FIRST_STOP + sim.roll(32_000);
        restart(sim, *node, at, plan);
    }
}

/// Zone by zone: at any time, or soon after a control machine of the zone is back.
fn release_servers(sim: &mut Sim, back: &[(usize, Time)], plan: &mut Plan) {
    let zones: Vec<String> = sim.cfg.domains.keys().cloned().collect();
    let mut waves = Vec::new();
    for zone in zones {
        let of_zone = back.iter().find(|(i, _)| sim.nodes[*i].domain == zone);
        let soon = of_zone.map(|(_, start)| start + sim.roll(2_500));
        let at = match soon.filter(|_| sim.roll(2) == 0) {
            Some(soon) => soon,
            None => FIRST_STOP + sim.roll(LAST_LEAVE - FIRST_STOP),
        };
        waves.push((at, zone));
    }
    waves.sort();
    let mut earliest = 0;
    for (at, zone) in waves {
        let at = at.max(earliest);
        earliest = at + ZONES_APART;
        if at <= LAST_LEAVE {
            release_zone(sim, &zone, at, plan);
        }
    }
}

fn release_zone(sim: &mut Sim, zone: &str, at: Time, plan: &mut Plan) {
    for server in 0..sim.world.servers.len() {
        if sim.world.servers[server].domain == zone {
            let departure = departure(sim);
            let at = at + sim.roll(1_500);
            plan.push(step(at, RollStep::Leave(server, departure)));
        }
    }
}

pub(super) fn departure(sim: &mut Sim) -> Departure {
    let longer = draw(sim, &[300, 1_000, 6_000]);
    let late = 500 + sim.roll(9_000);
    Departure {
        word: draw(sim, &[Word::Draining, Word::Draining, Word::Gone]),
        serves: DRAIN_BOUND + sim.roll(longer),
        patience: draw(sim, &[3_000, 6_000, 9_000]),
        late_heartbeat: draw(sim, &[None, Some(late)]),
        pause: 100 + sim.roll(2_500),
    }
}

/// Changes of configuration, an evacuation and its end, and readings.
pub(super) fn orders(sim: &mut Sim, plan: &mut Plan) {
    let mut at = FIRST_CHANGE;
    while at < LAST_CHANGE {
        plan.push(step(at, RollStep::Configure));
        at += 300 + sim.roll(3_500);
    }
    if sim.roll(2) == 0 {
        let zones: Vec<String> = sim.cfg.domains.keys().cloned().collect();
        let zone = zones[sim.roll(zones.len() as u64) as usize].clone();
        let from = 14_000 + sim.roll(20_000);
        let until = from + 7_000 + sim.roll(8_000);
        plan.push(step(from, RollStep::Evacuate(zone.clone(), true)));
        plan.push(step(until, RollStep::Evacuate(zone, false)));
    }
    let reads = (FIRST_CHANGE..ALL_WELL).step_by(300);
    plan.extend(reads.map(|at| step(at, RollStep::Read)));
    plan.push(step(CONCLUDE_AT, RollStep::Conclude));
}

pub(super) fn all_well(sim: &Sim, plan: &mut Plan) {
    plan.extend([(ALL_WELL, Heal), (ALL_WELL, Platform(Mood::Good))]);
    plan.extend((0..sim.nodes.len()).map(|i| (ALL_WELL, Start(i))));
    plan.sort_by_key(|(at, _)| *at);
}
