//! The last running server of each database leaves, while nodes start that learn of it late.

use super::leaving::{Departure, Word};
use super::plan::*;
use super::RollStep;
use crate::fault::Fault::*;
use crate::sim::Sim;
use tenet::base::Time;

/// From when to when no replica runs, on the day on which that is so.
const NO_REPLICAS: (Time, Time) = (14_000, 36_000);

/// Primaries leave while no replica can take over, and all nodes are stopped and started meanwhile.
pub(super) fn day(sim: &mut Sim) -> Plan {
    let mut plan = Plan::new();
    let core = control_machines(sim, &mut plan);
    begin(sim, &core);
    roll_control_machines(sim, &core, &mut plan);
    orders(sim, &mut plan);
    let primaries: Vec<usize> = (0..sim.world.servers.len())
        .filter(|server| sim.world.servers[*server].leads)
        .collect();
    for (server, run) in sim.world.servers.iter().enumerate() {
        if !primaries.contains(&server) {
            plan.push((NO_REPLICAS.0, Crash(run.name.clone())));
            plan.push((NO_REPLICAS.1, Restart(run.name.clone())));
        }
    }
    for server in primaries {
        let departure = Departure {
            word: Word::Draining,
            serves: 12_000,
            ..departure(sim)
        };
        let at = NO_REPLICAS.0 + 1_000 + sim.roll(6_000);
        plan.push(step(at, RollStep::Leave(server, departure)));
    }
    for node in (0..sim.nodes.len())
        .filter(|i| !sim.nodes[*i].disk)
        .collect::<Vec<_>>()
    {
        let at = NO_REPLICAS.0 + sim.roll(9_000);
        restart(sim, node, at, &mut plan);
    }
    all_well(sim, &mut plan);
    plan
}
