//! Starts and ends of the simulated machines.
use crate::node::Node;
use crate::sim::*;
use tenet::base::*;

/// Addresses that a starting process is given of others.
const SEEDS: usize = 3;

impl Sim {
    pub(crate) fn kill(&mut self, i: usize) {
        let power = self.roll(2) == 0;
        self.kill_with(i, power);
    }

    pub(crate) fn kill_with(&mut self, i: usize, power: bool) {
        if self.nodes[i].up {
            let r = self.roll(1 << 20);
            self.node_gone(i);
            self.nodes[i].crash(power, r);
            self.node_died(i);
        }
    }

    pub(crate) fn remove(&mut self, i: usize) {
        self.kill(i);
        self.nodes[i].removed = true;
    }

    pub(crate) fn leave(&mut self, i: usize) {
        self.nodes[i].removed = true;
        self.stop(i);
    }

    pub(crate) fn come_back(&mut self, i: usize) {
        self.nodes[i].removed = false;
        self.boot(i);
    }

    /// Addresses of nodes that are in use: any of them, or while most are down those with a disk.
    fn seeds(&mut self) -> Vec<Addr> {
        let most = self.nodes.iter().filter(|n| n.up).count() * 2 > self.nodes.len();
        let begun = |n: &Node| n.life > 0 || !n.spare;
        let in_use = |n: &&Node| !n.removed && if most { begun(n) } else { n.disk };
        let known: Vec<Addr> = self.nodes.iter().filter(in_use).map(|n| n.addr).collect();
        let drawn = self.roll(self.nodes.len() as u64) as usize;
        let first = if most { drawn } else { 0 };
        let turn = known.iter().cycle().skip(first);
        turn.take(SEEDS.min(known.len())).copied().collect()
    }

    pub(crate) fn boot(&mut self, i: usize) {
        if self.nodes[i].up || self.nodes[i].removed {
            return;
        }
        let seeds = self.seeds();
        let (now, seed) = (self.now, self.seed);
        match self.nodes[i].boot(now, seeds, seed) {
            Ok(e) => e.into_iter().for_each(|e| self.effect(i, e)),
            Err(e) => self
                .watch
                .faults
                .push(format!("disk: node {i} cannot read its own disk: {e}")),
        }
    }

    /// The nodes of a domain.
    pub(crate) fn in_domain(&self, d: &str) -> Vec<usize> {
        self.nodes
            .iter()
            .filter(|n| n.domain == d)
            .map(|n| n.i)
            .collect()
    }
}
