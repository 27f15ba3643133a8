//! What a search tells: what it saw, or a property that does not hold.

use super::actions::Action;
use super::cluster::Cluster;
use std::fmt;
use tenet::base::Time;

/// What a search saw.
#[derive(Debug, Default, Clone)]
pub struct Report {
    pub states: usize,
    pub ends: usize,
    pub recoveries: usize,
    pub slowest_recovery: Time,
    pub highest_view: u64,
    pub most_confirmed: usize,
    pub most_lease_holders: usize,
}

impl Report {
    /// Counts a state that was reached.
    pub fn note(&mut self, cluster: &Cluster) {
        let views = cluster.running().map(|(_, chain)| chain.d.view.n);
        self.states += 1;
        self.highest_view = self.highest_view.max(views.max().unwrap_or(0));
        self.most_confirmed = self.most_confirmed.max(cluster.history.confirmed.len());
        let holders = cluster.history.lease_holders.len();
        self.most_lease_holders = self.most_lease_holders.max(holders);
    }

    pub fn merge(&mut self, other: &Report) {
        self.states += other.states;
        self.ends += other.ends;
        self.recoveries += other.recoveries;
        self.slowest_recovery = self.slowest_recovery.max(other.slowest_recovery);
        self.highest_view = self.highest_view.max(other.highest_view);
        self.most_confirmed = self.most_confirmed.max(other.most_confirmed);
        self.most_lease_holders = self.most_lease_holders.max(other.most_lease_holders);
    }
}

/// A property that does not hold, and the schedule that shows it.
pub struct Violation {
    pub property: String,
    pub schedule: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{}, by this schedule:", self.property)?;
        self.schedule
            .iter()
            .try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// One line of a schedule: what is first in the queue, and how the schedule deviates from it.
pub fn line(cluster: &Cluster, action: Option<Action>) -> String {
    let first = cluster.queue.front();
    let event = first.map_or("the clock advances".to_string(), |queued| {
        queued.to_string()
    });
    let deviation = action.map_or(String::new(), |action| format!("  {action}"));
    format!("{:5} ms  {event}{deviation}", cluster.now())
}
