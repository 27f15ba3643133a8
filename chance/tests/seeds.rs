use chance::fault::Plant;
use chance::runs::run;
use chance::scripts::{find, ALL, FROZEN_SEND};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

fn sweep(work: Vec<(&'static str, &'static str, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let bad = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|t| {
        for _ in 0..cores {
            t.spawn(|| {
                while let Some((name, place, seed)) = work.get(next.fetch_add(1, Relaxed)) {
                    let s = run(find(name).unwrap(), place, *seed, Plant::None);
                    let f = s.faults();
                    if !f.is_empty() {
                        bad.lock()
                            .unwrap()
                            .push(format!("{name} {place} {seed}: {}", f.join(" | ")));
                    }
                }
            });
        }
    });
    bad.into_inner().unwrap()
}

#[test]
fn every_script_is_survived_on_both_deployments() {
    let mut work = Vec::new();
    for s in ALL {
        for place in ["alumni", "thessaly"] {
            (1..=3).for_each(|seed| work.push((s.name, place, seed)));
        }
    }
    assert_eq!(sweep(work), Vec::<String>::new());
}

#[test]
fn changed_labels_move_reads_in_time_and_drop_no_session() {
    for (place, seed) in [
        ("alumni", 1),
        ("alumni", 2),
        ("thessaly", 1),
        ("thessaly", 2),
    ] {
        let s = run(find("relabel").unwrap(), place, seed, Plant::None);
        assert_eq!(s.faults(), Vec::<String>::new());
        let spared = s.watch.spared.clone().unwrap();
        let at = |from: u64, to: u64| {
            s.watch
                .read_at
                .iter()
                .filter(|(t, n)| *t > from && *t < to && *n == spared.1)
                .count()
        };
        assert!(
            at(0, spared.2) > 0 && at(spared.2 + 3000, u64::MAX) == 0 && s.watch.agreed > 50,
            "{place} {seed}"
        );
        let moved = s
            .history
            .kinds
            .keys()
            .find(|k| k.contains("unknown-session") || k.contains("leaving"));
        assert_eq!(moved, None);
    }
}

#[test]
fn pairs_of_faults_at_near_moments_are_survived() {
    let work = (1..=36)
        .flat_map(|s| [("pairs", "alumni", s * 7), ("pairs", "thessaly", s * 7)])
        .collect();
    assert_eq!(sweep(work), Vec::<String>::new());
}

#[test]
fn seeds_that_once_failed_stay_mended() {
    let work = vec![
        ("new-disk", "alumni", 1),
        ("replace-servers", "thessaly", 4),
        ("freeze-any", "thessaly", 2),
        ("replace-servers", "thessaly", 9),
        ("replace-servers", "alumni", 7),
        ("new-disk", "thessaly", 1000),
        ("retire-freeze", "alumni", 20009),
        ("evacuate", "alumni", 30004),
        ("freeze-fencer", "thessaly", 3),
        ("freeze-fencer", "thessaly", 4),
        ("freeze-fencer", "alumni", 4),
    ];
    assert_eq!(sweep(work), Vec::<String>::new());
}

fn planted(plant: Plant, scripts: &[&str], rule: &str) {
    let hit = scripts.iter().any(|n| {
        (1..=30).any(|seed| {
            ["alumni", "thessaly"].iter().any(|p| {
                run(find(n).unwrap(), p, seed, plant)
                    .faults()
                    .iter()
                    .any(|f| f.starts_with(rule))
            })
        })
    });
    assert!(hit, "{plant:?} was never found as '{rule}'");
}

#[test]
fn a_permit_that_never_ends_is_found() {
    planted(
        Plant::PermitForever,
        &["lone-node", "domain-cut"],
        "configuration",
    );
}

#[test]
fn a_kernel_that_delivers_whatever_was_handed_over_is_found() {
    planted(Plant::OldSockets, &["silent-primary"], "two servers");
}

#[test]
fn a_replica_that_lies_about_its_log_is_found() {
    planted(Plant::LyingReplica, &["crash", "two-crashes"], "lost");
}

#[test]
fn a_disk_that_forgets_what_it_synced_is_found() {
    planted(Plant::LyingDisk, &["total-loss"], "forgotten");
}

#[test]
fn a_connection_that_is_not_reset_is_found() {
    planted(Plant::NoReset, &["calm"], "settings");
}

#[test]
fn a_server_that_does_not_know_ids_is_found() {
    planted(Plant::BlindRetry, &["calm"], "lost");
}

#[test]
fn what_a_frozen_fencer_still_sends_is_bounded_and_never_acknowledged() {
    let mut met = 0;
    for seed in 1..=12 {
        let s = run(&FROZEN_SEND, "alumni", seed, Plant::None);
        let f = s.faults();
        let (two, rest): (Vec<_>, Vec<_>) = f.iter().partition(|f| f.starts_with("two servers"));
        assert_eq!(rest, Vec::<&String>::new(), "seed {seed}");
        let share = s
            .cfg
            .databases
            .values()
            .map(|d| d.cap / 4)
            .max()
            .unwrap_or(0) as usize;
        assert!(
            two.len() <= share,
            "seed {seed}: {} statements past the permit, {share} connections",
            two.len()
        );
        met += two.len();
    }
    assert!(
        met > 0,
        "no seed froze a node between its check and its send"
    );
}

#[test]
fn a_planned_retirement_leaves_no_answer_unknown() {
    for (place, seed) in [
        ("alumni", 1),
        ("alumni", 2),
        ("thessaly", 1),
        ("thessaly", 2),
    ] {
        let s = run(find("retire").unwrap(), place, seed, Plant::None);
        let bad: Vec<_> = s
            .history
            .kinds
            .iter()
            .filter(|(k, _)| k.contains("unknown"))
            .collect();
        assert!(bad.is_empty(), "{place} {seed}: {bad:?}");
    }
}

#[test]
fn a_seed_replays_to_the_letter() {
    let tell = || {
        let s = run(find("storm").unwrap(), "thessaly", 5, Plant::None);
        let last = s
            .history
            .events
            .last()
            .map(|e| (e.start, e.end, e.id.clone()));
        (
            s.messages.clone(),
            s.history.events.len(),
            last,
            s.history.kinds.clone(),
        )
    };
    assert_eq!(tell(), tell());
}

#[test]
fn any_surviving_node_tells_what_a_failover_did_and_why() {
    for seed in 1..=3 {
        let s = run(find("crash").unwrap(), "alumni", seed, Plant::None);
        let db = s
            .world
            .last_leader
            .iter()
            .find(|(_, i)| !s.world.servers[**i].name.ends_with("-0"))
            .map(|x| x.0.clone())
            .unwrap();
        let won = s.world.servers[s.world.last_leader[&db]].name.clone();
        for n in s.nodes.iter().filter(|n| n.up) {
            let v: Vec<_> = n
                .control
                .as_ref()
                .unwrap()
                .state()
                .stories
                .iter()
                .filter(|x| x.topic == db)
                .collect();
            let at = |w: &str| {
                v.iter()
                    .position(|x| x.text.contains(w))
                    .unwrap_or_else(|| panic!("node {} does not tell '{w}'", n.i))
            };
            let (a, b, c) = (
                at(&format!("fencing nodes lost {db}-0")),
                at(&format!("{won} chosen")),
                at(&format!("{won} takes writes")),
            );
            assert!(a < b && b < c && v[a].mark < v[b].mark && v[b].mark < v[c].mark);
        }
    }
}
