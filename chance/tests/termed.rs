use chance::days::{day, run_day, TERMED};
use guise::termed::Flaw;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

fn sweep(work: Vec<(&'static str, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let bad = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|t| {
        for _ in 0..cores {
            t.spawn(|| {
                while let Some((name, seed)) = work.get(next.fetch_add(1, Relaxed)) {
                    let f = run_day(day(name).unwrap(), *seed, Flaw::None).faults();
                    if !f.is_empty() {
                        bad.lock()
                            .unwrap()
                            .push(format!("{name} {seed}: {}", f.join(" | ")));
                    }
                }
            });
        }
    });
    bad.into_inner().unwrap()
}

#[test]
fn every_day_on_servers_that_number_their_terms_is_survived() {
    let work = TERMED
        .iter()
        .flat_map(|s| (1..=2).map(|seed| (s.name, seed)))
        .collect();
    assert_eq!(sweep(work), Vec::<String>::new());
}

#[test]
fn days_that_once_failed_stay_mended() {
    let work = vec![
        ("target-dies", 105),
        ("target-dies", 106),
        ("target-dies", 111),
        ("pairs", 7),
        ("pairs", 22),
    ];
    assert_eq!(sweep(work), Vec::<String>::new());
}

#[test]
fn a_planned_change_cuts_back_nothing_that_was_acknowledged() {
    for (name, seed) in [
        ("retire", 3),
        ("retire", 4),
        ("evacuate", 3),
        ("retire-platform", 3),
    ] {
        let s = run_day(day(name).unwrap(), seed, Flaw::None);
        let v = s.judged();
        assert_eq!((v.faults, v.lost), (vec![], vec![]), "{name} {seed}");
        let t = s.termed.as_ref().unwrap();
        assert!(
            t.fleet.servers.iter().any(|s| s.term > 1),
            "{name} {seed} moved no primary"
        );
    }
}

#[test]
fn clients_meet_replicas_leads_and_every_kind_of_session_state() {
    let s = run_day(day("crash").unwrap(), 1, Flaw::None);
    let t = s.termed.as_ref().unwrap();
    let by = |f: &dyn Fn(&guise::termed::Run) -> bool| t.fleet.runs.iter().filter(|r| f(r)).count();
    let replica = |r: &guise::termed::Run| !t.fleet.servers[r.server].leads && r.at < 11_000;
    assert!(
        by(&replica) > 50
            && by(&|r| r.txn.is_some()) > 300
            && by(&|r| r.shape.is_some()) > 100
            && by(&|r| !r.options.is_empty()) > 300
    );
    assert!(t.fleet.kept.len() > 500);
}

fn found(flaw: Flaw, days: &[&str], rule: &str) {
    let hit = days.iter().any(|n| {
        (1..=12).any(|seed| {
            run_day(day(n).unwrap(), seed, flaw)
                .faults()
                .iter()
                .any(|f| f.starts_with(rule))
        })
    });
    assert!(hit, "{flaw:?} was never found as '{rule}'");
}

#[test]
fn servers_that_ignore_a_guard_are_found() {
    found(Flaw::GuardIgnored, &["calm"], "stale");
}

#[test]
fn servers_that_write_twice_are_found() {
    found(Flaw::WrittenTwice, &["calm"], "twice");
}

#[test]
fn servers_that_refuse_what_they_kept_are_found() {
    found(Flaw::KeptAndRefused, &["calm"], "refused");
}

#[test]
fn connections_that_are_not_reset_are_found() {
    found(Flaw::NotReset, &["calm"], "pinned");
}

#[test]
fn answers_of_another_statement_are_found() {
    found(Flaw::OthersAnswer, &["calm"], "mixed");
}

#[test]
fn a_planned_change_that_loses_commits_is_found() {
    found(Flaw::LeadsWithLess, &["retire"], "lost");
}
