//! Searches of the agreement and the leases, small enough for each run of the tests; larger ones, for
//! the night, by `MODEL_DEVIATIONS`, `MODEL_MESSAGES`, `MODEL_HEARTBEATS`,
//! `MODEL_CALM_FROM` and `MODEL_LAST_STEP`.

use chance::model::cluster::Cluster;
use chance::model::explore::{Recovery, Search};
use chance::model::limits::Limits;
use chance::model::report::Report;
use chance::model::setup::MACHINES;
use chance::model::{overlapping_losses, serving};
use std::time::Instant;

const THREADS: usize = 3;

fn number(name: &str, otherwise: u32) -> u32 {
    let given = std::env::var(name).ok();
    given.map_or(otherwise, |text| text.parse().unwrap())
}

fn search(limits: Limits, recovery: Option<Recovery>) -> Report {
    search_from(serving(), limits, recovery)
}

fn search_from(root: Cluster, limits: Limits, recovery: Option<Recovery>) -> Report {
    let limits = Limits {
        deviations: number("MODEL_DEVIATIONS", limits.deviations.into()) as u8,
        messages: number("MODEL_MESSAGES", limits.messages.into()) as u8,
        heartbeats: number("MODEL_HEARTBEATS", 0) > 0,
        calm_from: number("MODEL_CALM_FROM", limits.calm_from),
        last_step: number("MODEL_LAST_STEP", limits.last_step),
        ..limits
    };
    let began = Instant::now();
    let report = Search::new(root, limits, recovery).run(THREADS);
    let report = report.unwrap_or_else(|violation| panic!("{violation}"));
    println!("{report:?} in {:?}", began.elapsed());
    report
}

#[test]
fn the_default_schedule_starts_with_a_tail_that_serves() {
    let root = serving();
    let now = root.now();
    assert!(root.running().any(|(_, chain)| chain.serves_readers(now)));
}

#[test]
fn no_crash_with_a_cut_breaks_the_agreement_or_the_leases_and_a_majority_serves_again() {
    let recovery = Recovery {
        one_in: 8,
        within: 8000,
    };
    let report = search(
        Limits {
            deviations: 2,
            crashes: 1,
            cuts: 1,
            ..Limits::NONE
        },
        Some(recovery),
    );
    assert!(report.highest_view >= 3, "{report:?}");
    assert!(report.most_confirmed >= 2, "{report:?}");
    assert!(report.most_lease_holders >= 2, "{report:?}");
    assert!(report.recoveries > 0, "{report:?}");
}

#[test]
fn no_lost_late_or_repeated_message_breaks_a_change_of_view() {
    let report = search(
        Limits {
            deviations: 2,
            messages: 1,
            cuts: 1,
            last_step: 20,
            ..Limits::NONE
        },
        None,
    );
    assert!(report.highest_view >= 2, "{report:?}");
}

/// Guards against case 7 of the second review: the chain shrank to one machine, and once that one was lost, the disks of
/// the two others, of which one held every change, were of no use. Here one machine is down for a while, another crashes
/// at any moment about its return, and then any one is lost for good.
#[test]
fn losses_that_overlap_and_then_one_lost_machine_leave_a_control_plane_that_serves_again() {
    let recovery = Recovery {
        one_in: 2,
        within: 8000,
    };
    for machine in 0..MACHINES {
        let (root, limits) = overlapping_losses(machine);
        let report = search_from(root, limits, Some(recovery));
        assert!(report.highest_view >= 3, "{report:?}");
        assert!(report.recoveries > 0, "{report:?}");
    }
}
