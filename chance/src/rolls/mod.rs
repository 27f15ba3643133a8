//! Planned work on the whole fleet: all control machines and a third of the nodes are stopped and
//! started in turn, during a release of servers and changes of configuration, with troubles beside it.
//!
//! What must hold, whatever the troubles are:
//!
//! - `drain`: no new work reaches a server more than `DRAIN_BOUND` after any control machine
//!   acknowledged that it leaves or is gone;
//! - `acks`: an order is acknowledged in time, counted from when a majority of the control machines is
//!   up and connected, and a proper one is refused with nothing but an invitation to come back;
//! - `read back`: a configuration that was confirmed is never read back older.

mod answers;
mod contact;
mod figures;
mod last_server;
mod leaving;
mod orders;
mod plan;
mod read_back;
mod troubles;

pub use figures::Figures;
pub use leaving::{Departure, Word};
pub use plan::DAYS;

use crate::sim::Sim;
use contact::Contact;
use orders::Orders;
use read_back::ReadBack;
use std::collections::{BTreeMap, BTreeSet};
use tenet::base::Time;

/// What happens at a moment of such a day.
#[derive(Clone, Debug, PartialEq)]
pub enum RollStep {
    /// An operator sends the next configuration.
    Configure,
    /// An operator begins the evacuation of a zone, or ends it.
    Evacuate(String, bool),
    /// The configuration is read back at some node.
    Read,
    /// A server says that it leaves.
    Leave(usize, Departure),
    /// An order is sent once more, unless a later attempt was made or it was answered.
    Send { order: usize, attempt: u32 },
    /// A server that nobody acknowledged ends all the same.
    GiveUp { order: usize, server: usize },
    /// A draining server has served its time: it says that it is gone.
    Depart(usize),
    /// The process of a server ends.
    End(usize),
    /// The next process starts at the address of a server that ended.
    Succeed(usize),
    /// What holds at the end is compared with what was acknowledged.
    Conclude,
}

/// A release, its orders, and what was seen of them.
#[derive(Default)]
pub struct Release {
    /// Whether this run plays such a day.
    playing: bool,
    /// The machines that vote.
    control_machines: Vec<usize>,
    /// Percent of the acknowledgements that are lost on their way.
    lost_answers: u64,
    /// Servers that send no heartbeat at present.
    silent: BTreeSet<usize>,
    /// How each server leaves.
    departures: BTreeMap<usize, Departure>,
    /// When it was first acknowledged that a server leaves or is gone.
    acknowledged: BTreeMap<String, Time>,
    /// Transactions of which the first statement was seen, by server.
    transactions: BTreeSet<(usize, u64)>,
    orders: Orders,
    contact: Contact,
    read_back: ReadBack,
    /// What was measured.
    pub figures: Figures,
}

impl Release {
    pub(crate) fn is_silent(&self, server: usize) -> bool {
        self.silent.contains(&server)
    }
}

impl Sim {
    pub(crate) fn roll_step(&mut self, step: RollStep) {
        match step {
            RollStep::Configure => self.order_configuration(),
            RollStep::Evacuate(zone, on) => self.order_evacuation(zone, on),
            RollStep::Read => self.read_configuration(),
            RollStep::Leave(server, departure) => self.leave_server(server, departure),
            RollStep::Send { order, attempt } => self.send_again(order, attempt),
            RollStep::GiveUp { order, server } => self.give_up(order, server),
            RollStep::Depart(server) => self.depart_server(server),
            RollStep::End(server) => self.end_server(server),
            RollStep::Succeed(server) => self.succeed_server(server),
            RollStep::Conclude => self.conclude_rolls(),
        }
    }

    /// Looks after what holds at every moment of such a day.
    pub(crate) fn look_at_rolls(&mut self) {
        if self.watch.release.playing {
            self.look_at_contact();
            self.look_at_orders();
        }
    }
}
