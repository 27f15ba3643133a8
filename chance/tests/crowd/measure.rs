//! What can be said of the crowd as a whole at a moment.

use super::Crowd;
use std::sync::Arc;
use tenet::base::NodeId;
use tenet::table::Table;

impl Crowd {
    /// The tables of those machines without a disk whose lease holds.
    pub fn leased(&self) -> Vec<Arc<Table>> {
        let now = self.now();
        let plain = self.machines.iter().filter(|m| !m.disk && m.up());
        plain
            .filter_map(|m| m.table.as_ref())
            .filter(|(_, until)| *until > now)
            .map(|(table, _)| table.clone())
            .collect()
    }

    /// The share of pairs of a node and a database by which the node can serve the database: its lease
    /// holds, and it knows a gateway and a fencing node that run.
    pub fn served(&self) -> f64 {
        let plain = self.machines.iter().filter(|m| !m.disk).count();
        let pairs = plain * self.scene.databases;
        let good = |table: &Arc<Table>| {
            let runs = |ids: &[NodeId]| ids.iter().any(|id| self.runs(*id));
            let rows = table.dbs.iter();
            rows.filter(|d| runs(&d.gateways) && runs(&d.fencers))
                .count()
        };
        self.leased().iter().map(good).sum::<usize>() as f64 / pairs as f64
    }

    /// How many changes of a kind the log holds, as the replicas that run tell.
    pub fn placements(&self) -> usize {
        let controls = self.machines.iter().filter(|m| m.disk);
        controls.map(|m| m.placements).max().unwrap_or(0)
    }
}
