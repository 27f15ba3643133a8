//! Since when a majority of the control machines is up and connected.

use crate::sim::Sim;
use crate::wires::End;
use tenet::base::Time;

/// Contact among the control machines.
#[derive(Default)]
pub(super) struct Contact {
    /// Since when a majority is up and connected; none while there is no such majority.
    pub majority_since: Option<Time>,
}

impl Sim {
    pub(super) fn look_at_contact(&mut self) {
        let majority = self.has_majority();
        let (now, contact) = (self.now, &mut self.watch.release.contact);
        contact.majority_since = match majority {
            true => contact.majority_since.or(Some(now)),
            false => None,
        };
    }

    /// Whether some control machine, and those that it exchanges messages with, are a majority.
    fn has_majority(&self) -> bool {
        let all = &self.watch.release.control_machines;
        let connected = |one: usize| all.iter().filter(|two| self.connected(one, **two)).count();
        all.iter().any(|one| 2 * connected(*one) > all.len())
    }

    fn connected(&self, one: usize, two: usize) -> bool {
        let runs = |i: usize| {
            let node = &self.nodes[i];
            node.up && !node.frozen && node.drain.is_none()
        };
        let (a, b) = (End::Node(one), End::Node(two));
        runs(one) && runs(two) && (one == two || !self.apart(a, b) && !self.apart(b, a))
    }
}
