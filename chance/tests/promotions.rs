//! A failover ends when its target leads, whatever the platform's answers are: late, lost, or saying nothing.
use chance::fault::{Fault, Mood};
use chance::sim::Sim;
use guise::termed::Flaw;
use tenet::base::Time;

/// When the primary crashes.
const CRASH_AT: Time = 12_000;
/// Until when a replica may still receive what the primary sent before.
const LAST_RECEIVED: Time = CRASH_AT + 500;
/// Each change of primary is over within this, by the users' brief.
const OVER_WITHIN: Time = 8_000;
const END: Time = CRASH_AT + 14_000;
const SEEDS: u64 = 100;

/// How long after the crash the new primary took its first write; none if it did not.
fn first_write(seed: u64, mood: Mood) -> (Vec<String>, Option<Time>) {
    let mut sim = Sim::new_termed(seed, Flaw::None);
    let names: Vec<String> = sim.cfg.databases.keys().cloned().collect();
    let database = names[seed as usize % names.len()].clone();
    let faults = [
        (CRASH_AT - 1_000, Fault::Platform(mood)),
        (CRASH_AT, Fault::Crash(database.clone())),
    ];
    sim.script(&faults);
    sim.run(END);
    let servers = &sim.termed.as_ref().unwrap().fleet.servers;
    let successor = servers
        .iter()
        .find(|server| server.service == database && server.up && server.leads);
    let written = successor.and_then(|server| server.got.iter().find(|at| **at > LAST_RECEIVED));
    (sim.faults(), written.map(|at| at - CRASH_AT))
}

fn all_over_in_time(what: &str, mood: impl Fn(u64) -> Mood + Sync) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get() as u64);
    let mood = &mood;
    let mut times: Vec<Time> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|first| {
                let seeds = (first + 1..=SEEDS).step_by(threads as usize);
                scope.spawn(move || {
                    let one = |seed| {
                        let (faults, written) = first_write(seed, mood(seed));
                        assert_eq!(faults, Vec::<String>::new(), "{what}: seed {seed}");
                        written.unwrap_or(Time::MAX)
                    };
                    seeds.map(one).collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = workers.into_iter().map(|worker| worker.join().unwrap());
        joined.flatten().collect()
    });
    times.sort();
    let late = times.iter().filter(|time| **time > OVER_WITHIN).count();
    println!(
        "{what}: median {} ms, longest {} ms, {late} of {SEEDS} later than {OVER_WITHIN} ms",
        times[times.len() / 2],
        times[times.len() - 1]
    );
    assert_eq!(late, 0, "{what}");
}

/// Guards against a failover that asks again and again, since each answer comes after it ceased to wait.
#[test]
fn a_failover_ends_although_the_platform_answers_late() {
    all_over_in_time("late by 0.1 to 3 s", |seed| Mood::Late(100 + seed * 29));
}

/// Guards against a failover that waits for an answer that never comes, while its target leads.
#[test]
fn a_failover_ends_although_each_answer_is_lost() {
    all_over_in_time("answers lost", |_| Mood::LosesAnswer);
}
