#![cfg(not(loom))]
//! What must hold when a fleet is founded anew because its disks were lost.
use tenet::base::{Addr, Mark};
use tenet::state::*;

fn put(state: &mut State, at: u64, op: Op) {
    let mark = state.mark + 1;
    let ask = Ask {
        id: mark,
        question: 0,
        from: Addr::NONE,
        at,
        op,
    };
    state.apply(&Entry::unstamped(mark, ask));
}

/// A fleet whose first entry is of the time of day `founded`, after `changes` more of them.
fn token_of(founded: u64, changes: u64) -> Mark {
    let mut state = State::default();
    for k in 0..=changes {
        let op = Op::Phase {
            id: 4,
            event: "settle".into(),
        };
        put(&mut state, founded + 10 * k, op);
    }
    let place = Op::Place {
        db: "d".into(),
        fencers: vec![1],
        gateways: vec![1],
    };
    put(&mut state, founded + 10 * changes, place);
    let adopt = Op::Adopt {
        db: "d".into(),
        server: "a".into(),
    };
    put(&mut state, founded + 10 * changes, adopt);
    state.fencing_token(&state.dbs["d"])
}

#[test]
fn a_fleet_founded_anew_issues_higher_fencing_tokens_than_before() {
    let founded = 1_700_000_000_000;
    let before = token_of(founded, 5000);
    let after = token_of(founded + 60_000, 0);
    assert!(after > before, "{after} after {before}");
}

#[test]
fn fencing_tokens_rise_within_one_founding_also_when_the_time_of_day_falls() {
    let mut state = State::default();
    let steps = [(9_000_000, 1), (8_000_000, 2), (1_000, 3)];
    let mut last = 0;
    for (at, life) in steps {
        let place = Op::Place {
            db: "d".into(),
            fencers: vec![life],
            gateways: vec![1],
        };
        put(&mut state, at, place);
        let db = Db {
            since: state.mark,
            ..Db::default()
        };
        let token = state.fencing_token(&db);
        assert!(token > last, "{token} after {last}");
        last = token;
    }
}
