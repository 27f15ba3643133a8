//! Long histories on whole fleets under virtual time: hundreds of configurations, restarts in between.
use chance::fault::{Fault::*, Plant};
use chance::runs::run;
use chance::scripts::Script;
use chance::sim::Sim;

const FIRST_CHANGE: u64 = 10_000;
const LAST_CHANGE: u64 = 28_000;
const CHANGE_EACH: u64 = 60;
const MEMBERS: usize = 3;

/// A member of the core is away for 9 s of the storm, and back for its last seconds.
const AWAY: Script = Script {
    name: "history-away",
    end: 44_000,
    faults: |s| {
        let away = s.roll(MEMBERS as u64) as usize;
        let storm = (FIRST_CHANGE..LAST_CHANGE).step_by(CHANGE_EACH as usize);
        storm
            .map(|at| (at, Configure))
            .chain([(14_000, Kill(away)), (23_000, Start(away))])
            .collect()
    },
};

/// The same, and all processes are killed right after the last change.
const ALL_KILLED: Script = Script {
    name: "history-all-killed",
    end: 50_000,
    faults: |s| {
        let mut faults = (AWAY.faults)(s);
        faults.extend([(LAST_CHANGE + 10, KillAll), (LAST_CHANGE + 1000, StartAll)]);
        faults
    },
};

fn all_hold_the_same(sim: &Sim) {
    let newest = sim.watch.config_marks.iter().copied().max().unwrap_or(0);
    for node in sim.nodes.iter().filter(|node| node.up) {
        let state = node.control.as_ref().map(|control| control.state());
        let mark = state.map_or(0, |state| state.cfg_mark);
        assert!(mark >= newest, "node {} holds {mark} of {newest}", node.i);
    }
}

fn survives(script: &Script) {
    for place in ["alumni", "thessaly"] {
        for seed in 40_001..=40_002 {
            let sim = run(script, place, seed, Plant::None);
            let accepted = sim.watch.config_marks.len();
            println!("{} {place} {seed}: {accepted} changes", script.name);
            assert_eq!(sim.faults(), Vec::<String>::new(), "{place} {seed}");
            assert!(accepted >= 50, "{place} {seed}: {accepted} changes only");
            all_hold_the_same(&sim);
        }
    }
}

#[test]
fn a_member_away_during_a_storm_of_changes_comes_back_to_the_newest() {
    survives(&AWAY);
}

#[test]
fn a_storm_of_changes_with_all_killed_at_its_end_loses_none() {
    survives(&ALL_KILLED);
}
