//! Depth-first search over all deviations, with states that were seen left out.

use super::actions::{Action, Limits};
use super::cluster::Cluster;
use super::recovery::rests;
use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;
use tenet::base::Time;

const SHARDS: usize = 64;

/// When and how often ends of schedules are checked for recovery.
#[derive(Clone, Copy)]
pub struct Recovery {
    /// One end in this many is followed.
    pub one_in: u64,
    pub within: Time,
}

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
    fn merge(&mut self, other: &Report) {
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

/// The fewest deviations with which each state was reached.
struct Seen(Vec<Mutex<HashMap<u64, u8>>>);

impl Seen {
    fn new() -> Self {
        Seen((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    /// Whether a state is new, or was reached with more deviations before.
    fn enter(&self, cluster: &Cluster) -> bool {
        let print = cluster.print();
        let mut shard = self.0[print as usize % SHARDS].lock().unwrap();
        let spent = cluster.spent.deviations;
        match shard.get(&print) {
            Some(least) if *least <= spent => false,
            _ => {
                shard.insert(print, spent);
                true
            }
        }
    }
}

/// A search: where it starts, how far it goes, what it has seen.
pub struct Search {
    pub limits: Limits,
    pub recovery: Option<Recovery>,
    seen: Seen,
}

struct Frame {
    cluster: Cluster,
    untried: Vec<Option<Action>>,
}

impl Search {
    pub fn new(limits: Limits, recovery: Option<Recovery>) -> Self {
        Search {
            limits,
            recovery,
            seen: Seen::new(),
        }
    }

    /// Follows every schedule from `root`. The states one deviation away from the default schedule are
    /// shared out among threads.
    pub fn run(&self, root: &Cluster, threads: usize) -> Result<Report, Violation> {
        let (jobs, mut total) = self.first_deviations(root)?;
        let (next, failed) = (AtomicUsize::new(0), AtomicBool::new(false));
        let worker = || {
            let mut report = Report::default();
            while !failed.load(Relaxed) {
                let Some((schedule, cluster)) = jobs.get(next.fetch_add(1, Relaxed)) else {
                    break;
                };
                if let Err(violation) = self.depth_first(cluster.clone(), schedule, &mut report) {
                    failed.store(true, Relaxed);
                    return Err(violation);
                }
            }
            Ok(report)
        };
        let results: Vec<_> = std::thread::scope(|scope| {
            let handles: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
            handles.into_iter().map(|h| h.join().unwrap()).collect()
        });
        for result in results {
            total.merge(&result?);
        }
        Ok(total)
    }

    #[allow(clippy::type_complexity)]
    fn first_deviations(
        &self,
        root: &Cluster,
    ) -> Result<(Vec<(Vec<String>, Cluster)>, Report), Violation> {
        let mut jobs = Vec::new();
        let mut report = Report::default();
        let mut schedule = Vec::new();
        let mut cluster = root.clone();
        while !self.ended(&cluster) {
            for action in cluster.deviations(&self.limits) {
                let mut other = cluster.clone();
                let mut path = schedule.clone();
                path.push(line(&cluster, Some(action)));
                other.deviate(action);
                check(&mut other, &path)?;
                jobs.push((path, other));
            }
            schedule.push(line(&cluster, None));
            cluster.next();
            check(&mut cluster, &schedule)?;
            self.seen.enter(&cluster);
            note(&cluster, &mut report);
        }
        self.end(&cluster, &schedule, &mut report)?;
        Ok((jobs, report))
    }

    fn depth_first(
        &self,
        start: Cluster,
        prefix: &[String],
        report: &mut Report,
    ) -> Result<(), Violation> {
        let mut schedule = prefix.to_vec();
        let mut stack: Vec<Frame> = Vec::new();
        stack.extend(self.frame(start, &schedule, report)?);
        while let Some(frame) = stack.last_mut() {
            let Some(choice) = frame.untried.pop() else {
                stack.pop();
                schedule.pop();
                continue;
            };
            let mut cluster = frame.cluster.clone();
            schedule.push(line(&cluster, choice));
            match choice {
                Some(action) => cluster.deviate(action),
                None => cluster.next(),
            }
            check(&mut cluster, &schedule)?;
            match self.frame(cluster, &schedule, report)? {
                Some(frame) => stack.push(frame),
                None => drop(schedule.pop()),
            }
        }
        Ok(())
    }

    /// The choices at a state, unless it was seen or ends its schedule.
    fn frame(
        &self,
        cluster: Cluster,
        schedule: &[String],
        report: &mut Report,
    ) -> Result<Option<Frame>, Violation> {
        if !self.seen.enter(&cluster) {
            return Ok(None);
        }
        note(&cluster, report);
        if self.ended(&cluster) {
            self.end(&cluster, schedule, report)?;
            return Ok(None);
        }
        let deviations = cluster.deviations(&self.limits).into_iter().map(Some);
        let untried = deviations.chain([None]).collect();
        Ok(Some(Frame { cluster, untried }))
    }

    fn ended(&self, cluster: &Cluster) -> bool {
        let views = || cluster.running().map(|(_, chain)| chain.d.view.n);
        let out_of_time = cluster.step >= self.limits.last_step && cluster.queue.is_empty();
        out_of_time || views().any(|view| view > self.limits.last_view)
    }

    fn end(
        &self,
        cluster: &Cluster,
        schedule: &[String],
        report: &mut Report,
    ) -> Result<(), Violation> {
        report.ends += 1;
        let Some(recovery) = self.recovery else {
            return Ok(());
        };
        if !cluster.print().is_multiple_of(recovery.one_in) {
            return Ok(());
        }
        for rest in rests() {
            let took = cluster
                .recovers(rest, recovery.within)
                .map_err(|property| Violation {
                    property,
                    schedule: schedule.to_vec(),
                })?;
            report.recoveries += 1;
            report.slowest_recovery = report.slowest_recovery.max(took);
        }
        Ok(())
    }
}

fn check(cluster: &mut Cluster, schedule: &[String]) -> Result<(), Violation> {
    cluster.check().map_err(|property| Violation {
        property,
        schedule: schedule.to_vec(),
    })
}

fn note(cluster: &Cluster, report: &mut Report) {
    let views = cluster.running().map(|(_, chain)| chain.d.view.n);
    report.states += 1;
    report.highest_view = report.highest_view.max(views.max().unwrap_or(0));
    report.most_confirmed = report.most_confirmed.max(cluster.history.confirmed.len());
    let holders = cluster.history.lease_holders.len();
    report.most_lease_holders = report.most_lease_holders.max(holders);
}

fn line(cluster: &Cluster, action: Option<Action>) -> String {
    let first = cluster.queue.front();
    let event = first.map_or("the clock advances".to_string(), |queued| {
        queued.to_string()
    });
    let deviation = action.map_or(String::new(), |action| format!("  {action}"));
    format!("{:5} ms  {event}{deviation}", cluster.now())
}
