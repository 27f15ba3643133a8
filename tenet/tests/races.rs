#![cfg(not(loom))]
//! Configurations of operators that race, and their repeats.
mod alone;

use alone::{alumni, apply, kind_of, publish, Alone};
use arbtest::arbtest;
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::chain::Out;
use tenet::disk::Seat;
use tenet::kind::Kind;
use tenet::state::*;
use tenet::versions::{ConfirmedVersions, Standing, VERSIONS_KEPT};
use tenet::wire::Msg;

/// A configuration by which a server labelled `members` would be claimed by two databases.
fn wide() -> String {
    let mut v: serde_json::Value = serde_json::from_str(&alumni()).unwrap();
    v["databases"]["events"]["servers"] = "db in (events, members)".into();
    v.to_string()
}

fn member_server() -> Op {
    Op::Announce {
        server: "s".into(),
        addr: Addr::NONE,
        domain: "geneva-1".into(),
        labels: [("db".to_string(), "members".to_string())].into(),
        life: 1,
        leads: true,
        leaving: false,
        terms: false,
        seq: 0,
    }
}

#[test]
fn another_document_under_a_confirmed_number_is_refused_and_changes_nothing() {
    let mut s = State::default();
    assert_eq!(apply(&mut s, 0, 0, publish(7, "a")).reject, None);
    let (text, mark) = (s.cfg.clone(), s.cfg_mark);
    let second = apply(&mut s, 0, 0, publish(7, "b"));
    assert_eq!(kind_of(&second), Some(Kind::OtherBody));
    let why = second.reject.unwrap().why;
    assert!(
        why.contains("version 7") && why.contains("another document"),
        "{why}"
    );
    assert_eq!((&s.cfg, s.cfg_mark, s.cfg_version), (&text, mark, 7));
    apply(&mut s, 0, 0, publish(9, "c"));
    assert_eq!(
        kind_of(&apply(&mut s, 0, 0, publish(7, "b"))),
        Some(Kind::OtherBody)
    );
    assert_eq!(apply(&mut s, 0, 0, publish(7, "a")).reject, None);
    assert_eq!((&*s.cfg, s.cfg_version), ("c", 9));
}

#[test]
fn a_number_passed_over_is_confirmed_and_changes_nothing() {
    let mut s = State::default();
    apply(&mut s, 0, 0, publish(9, "c"));
    assert_eq!(apply(&mut s, 0, 0, publish(8, "b")).reject, None);
    assert_eq!((&*s.cfg, s.cfg_version), ("c", 9));
    assert_eq!(apply(&mut s, 0, 0, publish(8, "b")).reject, None);
    assert_eq!(
        kind_of(&apply(&mut s, 0, 0, publish(8, "other"))),
        Some(Kind::OtherBody),
        "it was confirmed once, so no other document is under its number"
    );
}

#[test]
fn the_first_configuration_holds_whatever_its_number() {
    let mut s = State::default();
    assert_eq!(apply(&mut s, 0, 0, publish(0, "a")).reject, None);
    assert_eq!(&*s.cfg, "a");
    assert!(s.cfg_mark > 0);
}

#[test]
fn the_history_of_versions_is_bounded_and_forgets_the_lowest() {
    let mut v = ConfirmedVersions::default();
    let most = VERSIONS_KEPT as u64;
    (1..=most + 10).for_each(|n| v.record(n, n));
    assert_eq!(v.len(), VERSIONS_KEPT);
    assert_eq!(v.standing(10, 10), Standing::New);
    assert_eq!(v.standing(11, 11), Standing::Repeat);
    assert_eq!(v.standing(most + 10, 3), Standing::Conflict);
}

#[test]
fn no_two_documents_are_confirmed_under_one_number_and_what_was_confirmed_stays_so() {
    arbtest(|u| {
        let mut s = State::default();
        let mut confirmed: BTreeMap<u64, &str> = BTreeMap::new();
        let mut held: Option<(u64, &str)> = None;
        for _ in 0..u.int_in_range(1..=30)? {
            let version = u.int_in_range(1..=6)?;
            let text = *u.choose(&["a", "b", "c"])?;
            let verdict = apply(&mut s, 0, u.arbitrary()?, publish(version, text));
            match (confirmed.get(&version), verdict.reject) {
                (Some(first), Some(r)) => assert!(*first != text && r.kind == Kind::OtherBody),
                (None, Some(r)) => panic!("a new number was refused: {r}"),
                (Some(first), None) => assert_eq!(*first, text),
                (None, None) => {
                    confirmed.insert(version, text);
                    held = held.filter(|h| h.0 >= version).or(Some((version, text)));
                }
            }
            assert_eq!(held, Some((s.cfg_version, &*s.cfg)));
        }
        Ok(())
    });
}

#[test]
fn a_repeat_is_confirmed_though_the_servers_of_the_moment_forbid_it() {
    let mut head = Alone::new(State::default());
    assert_eq!(head.order(10, publish(7, &wide())).reject, None);
    assert_eq!(head.order(20, member_server()).reject, None);
    assert_eq!(head.order(30, publish(7, &wide())).reject, None);
    let other = head.order(40, publish(8, &format!("{} ", wide())));
    assert_eq!(kind_of(&other), Some(Kind::BadConfig));
    assert!(other.reject.unwrap().why.contains("claimed by"));
    assert_eq!(head.chain.d.state.cfg_version, 7);
}

#[test]
fn a_head_that_was_deposed_refuses_no_order_of_the_platform_by_its_own_state() {
    let mut head = Alone::new(State::default());
    head.order(10, publish(7, &alumni()));
    head.order(20, member_server());
    head.chain.d.view.chain.push(Seat {
        id: 2,
        addr: Addr {
            ip: [7; 16],
            port: 2,
        },
    });
    let hold = Op::Hold {
        domain: "nowhere".into(),
        on: true,
        repeat_window: 5450,
    };
    let orders = [publish(7, "{}"), publish(8, &wide()), hold];
    for (id, op) in orders.into_iter().enumerate() {
        let mut out = Out::default();
        let ask = Ask {
            id: id as u64,
            question: id as u64,
            from: Addr::NONE,
            at: 0,
            op,
        };
        head.chain.propose(30, ask, &mut out);
        let answered = out
            .send
            .iter()
            .any(|(_, m)| matches!(m, Msg::Outcome { .. }));
        let invalid_in_itself = id == 0;
        assert_eq!(answered, invalid_in_itself, "order {id}");
    }
}

#[test]
fn a_repeat_enters_the_log_without_its_document() {
    let mut head = Alone::new(State::default());
    head.order(10, publish(7, &alumni()));
    head.order(20, publish(7, &alumni()));
    let last = head
        .chain
        .log
        .range(0, u64::MAX)
        .last()
        .map(|e| e.ask.op.clone());
    assert!(
        matches!(last, Some(Op::Confirm { version: 7, .. })),
        "{last:?}"
    );
}

#[test]
fn a_proposal_that_comes_again_under_its_id_gets_its_first_verdict() {
    let mut head = Alone::new(State::default());
    let first = head.order(10, publish(7, &alumni()));
    head.order(20, publish(9, &alumni()));
    head.ids -= 2;
    assert_eq!(head.order(30, publish(7, &alumni())), first);
}

#[test]
fn a_document_invalid_here_only_is_confirmed_if_it_was_and_refused_if_not() {
    let confirm = |version, text: &str| Op::Confirm {
        version,
        document: digest(text.as_bytes()),
        otherwise: "no such region".into(),
    };
    let mut head = Alone::new(State::default());
    let never = head.order(10, confirm(7, "a"));
    assert_eq!(kind_of(&never), Some(Kind::BadConfig));
    head.order(20, publish(7, &alumni()));
    assert_eq!(head.order(30, confirm(7, &alumni())).reject, None);
    assert_eq!(
        kind_of(&head.order(40, confirm(7, "a"))),
        Some(Kind::OtherBody)
    );
    assert_eq!(
        kind_of(&head.order(50, confirm(6, "a"))),
        Some(Kind::BadConfig)
    );
}
