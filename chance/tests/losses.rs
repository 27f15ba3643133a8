//! A second loss after a repair or a replacement: what was acknowledged is kept, and the fleet
//! serves again, whenever the second loss strikes.
use chance::fault::Plant;
use chance::losses::{BEYOND, LOSSES};
use chance::runs::run;
use chance::scripts::Script;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

fn sweep(work: Vec<(&'static Script, &'static str, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let bad = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|threads| {
        for _ in 0..cores {
            threads.spawn(|| {
                while let Some((day, place, seed)) = work.get(next.fetch_add(1, Relaxed)) {
                    let faults = run(day, place, *seed, Plant::None).faults();
                    if !faults.is_empty() {
                        let told = format!("{} {place} {seed}: {}", day.name, faults.join(" | "));
                        bad.lock().unwrap().push(told);
                    }
                }
            });
        }
    });
    bad.into_inner().unwrap()
}

/// The seed moves the second loss by 100 ms; these steps fall differently on each day.
fn days(names: &[&str], seeds: &[u64]) -> Vec<(&'static Script, &'static str, u64)> {
    let mut work = Vec::new();
    for day in LOSSES.iter().filter(|d| names.contains(&d.name)) {
        for place in ["alumni", "thessaly"] {
            work.extend(seeds.iter().map(|seed| (day, place, *seed)));
        }
    }
    work
}

#[test]
fn a_machine_away_at_any_moment_of_a_repair_costs_nothing_acknowledged() {
    let seeds: Vec<u64> = (0..50).step_by(4).collect();
    assert_eq!(
        sweep(days(&["repair-short-loss"], &seeds)),
        Vec::<String>::new()
    );
}

#[test]
fn the_next_disk_may_be_lost_as_soon_as_a_successor_had_its_time() {
    let seeds = [3, 5, 6, 7, 8, 11, 12, 15, 16, 19];
    let names = ["repair-second-disk", "repair-disk-and-power"];
    assert_eq!(sweep(days(&names, &seeds)), Vec::<String>::new());
}

#[test]
fn a_replaced_machine_that_returns_with_its_old_disk_harms_nothing() {
    assert_eq!(
        sweep(days(&["repair-old-disk"], &[1, 2, 3, 4, 5, 6])),
        Vec::<String>::new()
    );
}

#[test]
fn all_machines_may_be_replaced_one_after_the_other_also_where_two_overlap() {
    let names = ["repair-each", "repair-overlap"];
    assert_eq!(
        sweep(days(&names, &[1, 5, 8, 11, 17, 18])),
        Vec::<String>::new()
    );
}

#[test]
fn five_voters_bear_two_losses_at_once_also_during_a_repair() {
    let names = ["five-second-disk", "five-two-disks"];
    assert_eq!(
        sweep(days(&names, &[1, 5, 10, 16, 23, 34])),
        Vec::<String>::new()
    );
}

#[test]
fn past_the_tolerance_the_fleet_may_refuse_but_serves_nothing_wrong() {
    let open = ["refused", "away", "forgotten"];
    for place in ["alumni", "thessaly"] {
        for seed in [2, 9, 14, 22, 31, 38] {
            let faults = run(&BEYOND, place, seed, Plant::None).faults();
            let wrong: Vec<_> = faults
                .iter()
                .filter(|f| !open.iter().any(|o| f.starts_with(o)))
                .collect();
            assert_eq!(wrong, Vec::<&String>::new(), "{place} {seed}");
        }
    }
}
