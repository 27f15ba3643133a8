//! Depth-first search over all deviations, with states that were seen left out.

use super::actions::Action;
use super::cluster::Cluster;
use super::limits::Limits;
use super::recovery::rests;
use super::report::{line, Report, Violation};
use std::collections::HashMap;
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
    root: Cluster,
    pub limits: Limits,
    pub recovery: Option<Recovery>,
    seen: Seen,
}

/// The choices from the root on; `None` is the default.
type Schedule = Vec<Option<Action>>;

/// A state from which a thread goes on, and how it was reached.
type Job = (Schedule, Cluster);

struct Frame {
    cluster: Cluster,
    untried: Vec<Option<Action>>,
}

impl Search {
    pub fn new(root: Cluster, limits: Limits, recovery: Option<Recovery>) -> Self {
        Search {
            root,
            limits,
            recovery,
            seen: Seen::new(),
        }
    }

    /// Follows every schedule from the root. The states one deviation away from the default schedule are
    /// shared out among threads; a single thread is the caller's own.
    pub fn run(&self, threads: usize) -> Result<Report, Violation> {
        let (jobs, mut total) = self.first_deviations(&self.root)?;
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
        if threads == 1 {
            total.merge(&worker()?);
            return Ok(total);
        }
        let results: Vec<_> = std::thread::scope(|scope| {
            let handles: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
            handles.into_iter().map(|h| h.join().unwrap()).collect()
        });
        for result in results {
            total.merge(&result?);
        }
        Ok(total)
    }

    fn first_deviations(&self, root: &Cluster) -> Result<(Vec<Job>, Report), Violation> {
        let mut jobs = Vec::new();
        let mut report = Report::default();
        let mut schedule = Schedule::new();
        let mut cluster = root.clone();
        while !self.ended(&cluster) {
            for action in cluster.deviations(&self.limits) {
                let mut other = cluster.clone();
                let mut path = schedule.clone();
                path.push(Some(action));
                other.deviate(action);
                self.check(&mut other, &path)?;
                jobs.push((path, other));
            }
            schedule.push(None);
            cluster.next();
            self.check(&mut cluster, &schedule)?;
            self.seen.enter(&cluster);
            report.note(&cluster);
        }
        self.end(&cluster, &schedule, &mut report)?;
        Ok((jobs, report))
    }

    fn depth_first(
        &self,
        start: Cluster,
        prefix: &[Option<Action>],
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
            schedule.push(choice);
            cluster.take(choice);
            self.check(&mut cluster, &schedule)?;
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
        schedule: &[Option<Action>],
        report: &mut Report,
    ) -> Result<Option<Frame>, Violation> {
        if !self.seen.enter(&cluster) {
            return Ok(None);
        }
        report.note(&cluster);
        if self.ended(&cluster) {
            self.end(&cluster, schedule, report)?;
            return Ok(None);
        }
        let deviations = cluster.deviations(&self.limits).into_iter().map(Some);
        let untried = deviations.chain([None]).collect();
        Ok(Some(Frame { cluster, untried }))
    }

    fn check(&self, cluster: &mut Cluster, schedule: &[Option<Action>]) -> Result<(), Violation> {
        let checked = cluster.check();
        checked.map_err(|property| self.violation(property, schedule))
    }

    /// Plays a schedule again, to describe it.
    fn violation(&self, property: String, schedule: &[Option<Action>]) -> Violation {
        let mut cluster = self.root.clone();
        let mut lines = Vec::new();
        for choice in schedule {
            lines.push(line(&cluster, *choice));
            cluster.take(*choice);
        }
        Violation {
            property,
            schedule: lines,
        }
    }

    fn ended(&self, cluster: &Cluster) -> bool {
        let views = || cluster.running().map(|(_, chain)| chain.d.view.n);
        let out_of_time = cluster.step >= self.limits.last_step && cluster.queue.is_empty();
        out_of_time || views().any(|view| view > self.limits.last_view)
    }

    fn end(
        &self,
        cluster: &Cluster,
        schedule: &[Option<Action>],
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
                .map_err(|property| self.violation(property, schedule))?;
            report.recoveries += 1;
            report.slowest_recovery = report.slowest_recovery.max(took);
        }
        Ok(())
    }
}
