//! A bounded, exhaustive model of the agreement on views and of the tail's lease.
//!
//! Three real [`tenet::chain::Chain`] machines, each with a disk that keeps only what was synced, run
//! on one clock that advances in coarse steps. One schedule is the default: messages arrive in the order
//! in which they were sent, writes sync at once, nothing fails. [`explore`] tries every way to deviate
//! from it up to a number of deviations: a message lost, late, overtaken or repeated, a sync that is
//! late, a crash with unsynced writes kept or lost, a cut, a wrong suspicion. [`safety`] checks each
//! state that is reached, and [`recovery`] that a connected majority serves again after faults end.

pub mod actions;
pub mod cluster;
pub mod event;
pub mod explore;
pub mod limits;
pub mod machine;
pub mod recovery;
pub mod report;
pub mod safety;
pub mod setup;

use actions::Action;
use cluster::Cluster;
use limits::Limits;

const WARM_UP_STEPS: u32 = 8;
const PROPOSALS: &[u32] = &[9, 14];

/// A cluster whose tail holds the lease, and whose client will propose two changes.
pub fn serving() -> Cluster {
    let mut root = Cluster::new(PROPOSALS);
    while root.step < WARM_UP_STEPS || !root.queue.is_empty() {
        root.next();
    }
    root
}

/// A cluster of which one machine is down for a while from the start on, and limits of a search in which two more crashes
/// overlap with that.
pub fn overlapping_losses(machine: usize) -> (Cluster, Limits) {
    const STEPS_DOWN: u32 = 9;
    let mut root = serving();
    root.deviate(Action::Crash {
        machine,
        keep_unsynced: false,
        steps_down: STEPS_DOWN,
    });
    let limits = Limits {
        deviations: 3,
        crashes: 3,
        down: &[STEPS_DOWN],
        calm_from: 22,
        last_step: 28,
        last_view: 8,
        ..Limits::NONE
    };
    (root, limits)
}
