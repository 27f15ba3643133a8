//! Prints what a run gave: requests, response times and broken rules.

use super::Fleet;
use crate::callers::Latency;
use crate::check::check;
use crate::lock;
use std::collections::BTreeMap;

/// Broken rules that are printed in full.
const FAULTS_SHOWN: usize = 20;

/// Prints the report and returns the number of broken rules.
pub(super) fn report(fleet: &Fleet, seconds: u64) -> usize {
    let history = lock(&fleet.site.history);
    let world = lock(&fleet.world);
    let faults = check(&history, &world);
    let latencies = lock(&fleet.site.latencies);
    println!(
        "requests {} in {seconds} s, connections opened {}",
        latencies.len(),
        world.opened
    );
    for (kind, count) in &history.kinds {
        println!("  {kind:<40} {count}");
    }
    print_latencies(&latencies);
    for fault in faults.iter().take(FAULTS_SHOWN) {
        println!("FAULT {fault}");
    }
    println!("faults: {}", faults.len());
    faults.len()
}

fn print_latencies(latencies: &[Latency]) {
    let mut by_kind: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for latency in latencies {
        let times = by_kind.entry(&latency.kind).or_default();
        if latency.kept {
            times.push(latency.took);
        }
    }
    for (kind, mut times) in by_kind {
        times.sort_unstable();
        let percentile = |p: usize| times.get(times.len() * p / 100).copied().unwrap_or(0);
        println!(
            "  {kind:<20} p50 {:>5} ms  p95 {:>5} ms  max {:>5} ms",
            percentile(50),
            percentile(95),
            times.last().unwrap_or(&0)
        );
    }
}
