//! Runs a plan from the start of the fleet to the report.

use super::report::report;
use super::{Fleet, Plan};
use eyre::{eyre, Result};
use medium::clock::Clock;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// How long a caller may take to end.
const CALLER_END_LIMIT: Duration = Duration::from_secs(12);

/// A fault and when to inject it, in ms after the start of traffic.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: u64,
    fault: String,
}

impl Scheduled {
    fn parse(event: &str) -> Result<Scheduled> {
        let (second, fault) = event
            .split_once(':')
            .ok_or_else(|| eyre!("--do: '{event}' is not SECOND:WHAT"))?;
        let second: u64 = second
            .parse()
            .map_err(|_| eyre!("--do: '{second}' is no number"))?;
        Ok(Scheduled {
            at: second * 1000,
            fault: fault.into(),
        })
    }
}

async fn sleep_until(clock: &Clock, at: u64) {
    let left = at.saturating_sub(clock.now());
    tokio::time::sleep(Duration::from_millis(left)).await;
}

/// Runs a plan, prints a report and returns the number of broken rules.
pub async fn run(plan: Plan) -> Result<usize> {
    let mut fleet = Fleet::start(&plan).await?;
    let clock = Clock::new();
    let version = fleet.configure(0, plan.nodes - 1).await?;
    fleet.ready().await?;
    println!(
        "{:>7} ms  fleet of {} ready, configuration {version} through the last node",
        clock.now(),
        plan.nodes
    );
    fleet.learn_regions().await;
    let callers = fleet.start_callers(plan.sessions);
    let schedule: Result<Vec<Scheduled>> =
        plan.events.iter().map(|e| Scheduled::parse(e)).collect();
    let mut schedule = schedule?;
    schedule.sort();
    let clock = Clock::new();
    for scheduled in schedule {
        sleep_until(&clock, scheduled.at).await;
        fleet.inject(&scheduled.fault)?;
    }
    sleep_until(&clock, plan.seconds * 1000).await;
    fleet.site.stop.store(true, Relaxed);
    for caller in callers {
        let _ = tokio::time::timeout(CALLER_END_LIMIT, caller).await;
    }
    Ok(report(&fleet, plan.seconds))
}
