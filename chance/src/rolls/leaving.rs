//! How servers leave during a release, and what may still reach them.

use super::orders::OrderKind;
use super::RollStep;
use crate::fault::Fault;
use crate::sim::{Ev, Sim};
use tenet::base::Time;
use tenet::control::In;

/// No new work reaches a server later than this after it was acknowledged that it leaves.
pub const DRAIN_BOUND: Time = 7000;
/// How long the process of a node runs before it counts as in touch here. The users' rule counts a
/// node only some seconds later, so that this is the stricter bound.
const IN_TOUCH_AFTER: Time = 1000;

/// The word with which a server leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// It says that it is draining, serves on, and says that it is gone when it ends.
    Draining,
    /// It says that it is gone, and serves on for a while.
    Gone,
}

/// How one server leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    /// Its first word.
    pub word: Word,
    /// How long it serves on after the acknowledgement.
    pub serves: Time,
    /// How long it waits for an acknowledgement, and then ends all the same.
    pub patience: Time,
    /// How long a heartbeat that it sent before is on its way, if one is.
    pub late_heartbeat: Option<Time>,
    /// From the end of its process to the start of the next one.
    pub pause: Time,
}

impl Sim {
    fn roll_at(&mut self, after: Time, step: RollStep) {
        self.at(self.now + after, Ev::Fault(Fault::Roll(step)));
    }

    pub(super) fn leave_server(&mut self, server: usize, departure: Departure) {
        if !self.world.servers[server].up {
            return;
        }
        if let Some(late) = departure.late_heartbeat {
            let op = self.announcement(server, false);
            let node = self.some_control_machine(None);
            self.say(server, node, late, In::Announce { call: 0, op });
        }
        let kind = match departure.word {
            Word::Draining => OrderKind::Draining(server),
            Word::Gone => OrderKind::Gone(server),
        };
        let patience = departure.patience;
        let release = &mut self.watch.release;
        release.silent.insert(server);
        release.departures.insert(server, departure);
        let order = self.new_order_of(kind);
        self.roll_at(patience, RollStep::GiveUp { order, server });
    }

    pub(super) fn give_up(&mut self, order: usize, server: usize) {
        if !self.watch.release.orders.list[order].closed {
            self.end_server(server);
        }
    }

    /// A server was told that its word was taken.
    pub(super) fn word_taken(&mut self, server: usize, word: Word) {
        let Some(departure) = self.watch.release.departures.get(&server).cloned() else {
            return;
        };
        match (departure.word, word) {
            (Word::Draining, Word::Draining) => {
                self.watch.release.silent.remove(&server);
                self.world.servers[server].leaving = true;
                self.roll_at(departure.serves, RollStep::Depart(server));
            }
            (Word::Gone, Word::Gone) => self.roll_at(departure.serves, RollStep::End(server)),
            _ => (),
        }
    }

    pub(super) fn depart_server(&mut self, server: usize) {
        if !self.world.servers[server].up {
            return;
        }
        self.watch.release.silent.insert(server);
        self.new_order_of(OrderKind::Gone(server));
        let ends = 100 + self.roll(2000);
        self.roll_at(ends, RollStep::End(server));
    }

    pub(super) fn end_server(&mut self, server: usize) {
        let release = &mut self.watch.release;
        let departure = release.departures.remove(&server);
        let Some(departure) = departure.filter(|_| self.world.servers[server].up) else {
            return;
        };
        self.watch.release.orders.close_of(server);
        self.crash(server);
        self.roll_at(departure.pause, RollStep::Succeed(server));
    }

    pub(super) fn succeed_server(&mut self, server: usize) {
        self.watch.release.silent.remove(&server);
        self.follows(server);
    }

    /// Checks what a server ran for a node, if anything after the first `ran` pieces.
    pub(crate) fn check_drained(&mut self, node: usize, ran: usize) {
        let Some(termed) = self.termed.as_ref().filter(|_| self.watch.release.playing) else {
            return;
        };
        let Some(run) = termed.fleet.runs.get(ran) else {
            return;
        };
        let (server, name) = (run.server, &termed.fleet.servers[run.server].name);
        let release = &mut self.watch.release;
        let new = run
            .txn
            .is_none_or(|txn| release.transactions.insert((server, txn)));
        let Some(since) = release.acknowledged.get(name).filter(|_| new) else {
            return;
        };
        let late = self.now - since;
        let figures = &mut release.figures;
        figures.late_work += 1;
        figures.lateness = figures.lateness.max(late);
        let started = self.nodes[node].start;
        if self.now < started + IN_TOUCH_AFTER {
            return;
        }
        figures.lateness_in_touch = figures.lateness_in_touch.max(late);
        if late > DRAIN_BOUND {
            self.watch.faults.push(format!(
                "drain: at {} node {node}, started at {started}, sent new work to {name}, \
                 {late} ms after it was acknowledged that it leaves",
                self.now
            ));
        }
    }
}
