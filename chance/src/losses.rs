//! Days on which a second loss follows a repair or a replacement of a voting machine, at each
//! moment of it.
use crate::fault::Fault::{self, *};
use crate::repairs::*;
use crate::scripts::Script;
use crate::sim::*;
use tenet::base::*;

/// When the first machine is lost, or its successor is started.
const FIRST_LOSS: Time = 12_000;
/// How long after its start a successor still counts as lost.
const CATCH_UP: Time = 4000;
/// How long a machine that was lost stays away.
const AWAY: Time = 3000;
/// From the last loss to the changes that must be acknowledged.
const SERVES_WITHIN: Time = 8000;
const STEP: Time = 100;
const END: Time = 50_000;

/// Two more machines with a disk join before the day begins; two losses are then to be borne.
fn five(s: &mut Sim, faults: &mut Vec<(Time, Fault)>) -> Vec<usize> {
    s.nodes.iter_mut().for_each(|n| n.copies = 3);
    let more = [spare(s, 0), spare(s, 1)];
    faults.extend(more.map(|i| (4000, Start(i))));
    vec![0, 1, 2, more[0], more[1]]
}

fn draw(s: &mut Sim, v: &[usize]) -> usize {
    v[s.roll(v.len() as u64) as usize]
}

/// The moment of the second loss, which moves by one step with each seed.
fn gap(s: &Sim, steps: u64) -> Time {
    STEP * (s.seed % steps)
}

/// Changes from now on, close enough that one is acknowledged soon.
fn changes(from: Time, count: u64) -> impl Iterator<Item = (Time, Fault)> {
    (0..count).map(move |k| (from + 500 * k, Configure))
}

/// The disk is lost right after a change was acknowledged, or at the latest 1.5 s later.
fn wipe(victim: usize, at: Time) -> Vec<(Time, Fault)> {
    let mut v = vec![
        (at, AfterAck(Box::new(Wipe(victim)))),
        (at + 1500, Wipe(victim)),
        (at + 2500, Start(victim)),
    ];
    v.extend(changes(at, 2));
    v
}

/// Ends the day: changes after the last loss, one of which at least must be acknowledged.
fn closed(s: &mut Sim, mut v: Vec<(Time, Fault)>, last: Time) -> Vec<(Time, Fault)> {
    v.push((FIRST_LOSS - 300, Configure));
    v.extend(changes(last + SERVES_WITHIN, 6));
    s.watch.accepts_after = last + SERVES_WITHIN;
    v
}

/// The second machine is away for some seconds and keeps its disk.
fn short_loss(s: &mut Sim) -> Vec<(Time, Fault)> {
    let first = repair(s, &[0, 1, 2], FIRST_LOSS);
    let at = first.started + gap(s, 50);
    let victim = draw(s, &first.voters(&[0, 1, 2]));
    let mut v = first.faults;
    v.extend(changes(at - 100, 3));
    match s.roll(2) {
        0 => v.extend([(at, Kill(victim)), (at + AWAY, Start(victim))]),
        _ => v.extend([(at, Freeze(victim)), (at + AWAY, Thaw(victim))]),
    }
    closed(s, v, at + AWAY)
}

fn second_disk(s: &mut Sim) -> Vec<(Time, Fault)> {
    let first = repair(s, &[0, 1, 2], FIRST_LOSS);
    let at = first.started + CATCH_UP + gap(s, 30);
    let victim = draw(s, &first.voters(&[0, 1, 2]));
    let mut v = first.faults;
    v.extend(wipe(victim, at));
    closed(s, v, at + AWAY)
}

/// The next disk is lost before the successor had its time: two losses at once where one is to be
/// borne. Whether the fleet serves again is open; what it serves must still be right.
fn second_disk_early(s: &mut Sim) -> Vec<(Time, Fault)> {
    let first = repair(s, &[0, 1, 2], FIRST_LOSS);
    let at = first.started + gap(s, 40);
    let stays: Vec<usize> = (0..3).filter(|i| *i != first.lost).collect();
    let victim = draw(s, &stays);
    let mut v = first.faults;
    v.extend(wipe(victim, at));
    closed(s, v, at + AWAY)
}

/// A disk is lost while the other voters lose power.
fn second_disk_and_power(s: &mut Sim) -> Vec<(Time, Fault)> {
    let first = repair(s, &[0, 1, 2], FIRST_LOSS);
    let at = first.started + CATCH_UP + gap(s, 30);
    let voters = first.voters(&[0, 1, 2]);
    let victim = draw(s, &voters);
    let mut v = first.faults;
    v.extend(changes(at - 400, 1));
    v.push((at, Wipe(victim)));
    let others = voters.iter().filter(|i| **i != victim);
    v.extend(others.map(|i| (at, Kill(*i))));
    v.extend(voters.iter().map(|i| (at + SUCCESSOR_AFTER, Start(*i))));
    closed(s, v, at + AWAY)
}

/// The machine that was replaced comes back with its old disk, and another is lost.
fn old_disk_returns(s: &mut Sim) -> Vec<(Time, Fault)> {
    let lost = s.roll(3) as usize;
    let first = match s.roll(2) {
        0 => replaced(s, lost, FIRST_LOSS),
        _ => replaced_as_planned(s, lost, FIRST_LOSS),
    };
    let back = first.started + 5000 + gap(s, 30);
    let voters = first.voters(&[0, 1, 2]);
    let victim = draw(s, &voters);
    let at = first.started + CATCH_UP + 1000 + s.roll(3000);
    let mut v = first.faults;
    v.push((back, Return(lost)));
    v.extend(wipe(victim, at));
    closed(s, v, at.max(back) + AWAY)
}

/// All three machines are replaced, one after the other.
fn each_in_turn(s: &mut Sim) -> Vec<(Time, Fault)> {
    let planned = s.roll(2) == 0;
    let (mut v, mut at) = (Vec::new(), FIRST_LOSS);
    for lost in 0..3 {
        let r = match planned {
            true => replaced_as_planned(s, lost, at),
            false => replaced(s, lost, at),
        };
        at = r.started + CATCH_UP + gap(s, 20);
        v.extend(r.faults);
        v.extend(changes(at - 300, 1));
    }
    closed(s, v, at)
}

/// Two planned replacements overlap; a disk is lost when both successors had their time.
fn overlapping(s: &mut Sim) -> Vec<(Time, Fault)> {
    let a = replaced_as_planned(s, 0, FIRST_LOSS);
    let b = replaced_as_planned(s, 1, FIRST_LOSS + gap(s, 20));
    let at = b.started + CATCH_UP + 1500;
    let victim = draw(s, &[2, a.successor, b.successor]);
    let mut v = a.faults;
    v.extend(b.faults);
    v.extend(wipe(victim, at));
    closed(s, v, at + AWAY)
}

fn five_second_disk(s: &mut Sim) -> Vec<(Time, Fault)> {
    let mut v = Vec::new();
    let voters = five(s, &mut v);
    let first = repair(s, &voters, FIRST_LOSS);
    let at = first.started + gap(s, 60);
    let victim = draw(s, &first.voters(&voters));
    v.extend(first.faults);
    v.extend(wipe(victim, at));
    closed(s, v, at + AWAY)
}

fn five_two_disks(s: &mut Sim) -> Vec<(Time, Fault)> {
    let mut v = Vec::new();
    let voters = five(s, &mut v);
    let first = repair(s, &voters, FIRST_LOSS);
    let at = first.started + CATCH_UP + gap(s, 30);
    let now = first.voters(&voters);
    let one = s.roll(5) as usize;
    let two = (one + 1 + s.roll(4) as usize) % 5;
    v.extend(first.faults);
    v.extend(wipe(now[one], at));
    v.extend([(at, Wipe(now[two])), (at + 1200, Start(now[two]))]);
    closed(s, v, at + AWAY)
}

const fn day(name: &'static str, faults: fn(&mut Sim) -> Vec<(Time, Fault)>) -> Script {
    Script {
        name,
        end: END,
        faults,
    }
}

/// The days, by name. What each bears is within what its voters are to bear at once.
pub const LOSSES: &[Script] = &[
    day("repair-short-loss", short_loss),
    day("repair-second-disk", second_disk),
    day("repair-disk-and-power", second_disk_and_power),
    day("repair-old-disk", old_disk_returns),
    day("repair-each", each_in_turn),
    day("repair-overlap", overlapping),
    day("five-second-disk", five_second_disk),
    day("five-two-disks", five_two_disks),
];

/// Beyond what three voters are to bear.
pub const BEYOND: Script = day("repair-disk-early", second_disk_early);

/// All days of this module.
pub fn all() -> impl Iterator<Item = &'static Script> {
    LOSSES.iter().chain([&BEYOND])
}

impl Sim {
    /// After the last loss a change must have been acknowledged.
    pub(crate) fn accepts_again(&mut self) {
        let from = self.watch.accepts_after;
        let accepted = self.watch.accepted.iter().any(|(t, _)| *t > from);
        if from > 0 && !accepted {
            self.watch.faults.push(format!(
                "refused: no configuration was acknowledged after {from}"
            ));
        }
    }
}
