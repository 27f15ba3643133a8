#![cfg(not(loom))]
//! Orders of operators that race, repeats of orders whose answer was lost, and the clock that both
//! are told apart by.
use arbtest::arbtest;
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::bounds::repeat_window;
use tenet::chain::{Chain, Out};
use tenet::clock::AgreedClock;
use tenet::colleagues::Colleagues;
use tenet::disk::*;
use tenet::kind::Kind;
use tenet::state::*;
use tenet::versions::{ConfirmedVersions, Standing, VERSIONS_KEPT};
use tenet::wire::{Msg, Summary, WIRE};

const WINDOW: u64 = repeat_window(6000);

fn apply(state: &mut State, clock: u64, at: u64, op: Op) -> Verdict {
    let mark = state.mark + 1;
    let ask = Ask {
        id: mark * 31,
        from: Addr::NONE,
        at,
        op,
    };
    state.apply(&Entry { mark, clock, ask })
}

fn publish(version: u64, text: &str) -> Op {
    Op::Publish {
        version,
        document: digest(text.as_bytes()),
        text: text.into(),
    }
}

fn hold(on: bool) -> Op {
    Op::Hold {
        domain: "geneva-1".into(),
        on,
        repeat_window: WINDOW,
    }
}

fn kind_of(verdict: &Verdict) -> Option<Kind> {
    verdict.reject.as_ref().map(|r| r.kind)
}

fn alumni() -> String {
    include_str!("../../examples/alumni.json").into()
}

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
    assert_eq!((s.cfg.as_str(), s.cfg_version), ("c", 9));
}

#[test]
fn a_number_passed_over_is_confirmed_and_changes_nothing() {
    let mut s = State::default();
    apply(&mut s, 0, 0, publish(9, "c"));
    assert_eq!(apply(&mut s, 0, 0, publish(8, "b")).reject, None);
    assert_eq!((s.cfg.as_str(), s.cfg_version), ("c", 9));
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
    assert_eq!(s.cfg, "a");
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
            assert_eq!(held, Some((s.cfg_version, s.cfg.as_str())));
        }
        Ok(())
    });
}

/// One member that is its whole chain, with its answers.
struct Alone {
    chain: Chain,
    colleagues: Colleagues,
    ids: u64,
}

impl Alone {
    fn new(state: State) -> Alone {
        let me = Seat {
            id: 1,
            addr: Addr {
                ip: [7; 16],
                port: 1,
            },
        };
        let view = View {
            n: 3,
            cluster: 1,
            voters: vec![me],
            chain: vec![me],
        };
        let durable = Durable {
            id: 1,
            view,
            whole: 3,
            state,
            ..Durable::default()
        };
        let head_ids = durable.state.mark;
        let summary = Summary {
            id: 1,
            addr: me.addr,
            http: me.addr,
            domain: "geneva-1".into(),
            disk: true,
            life: 1,
            status: 0,
            view: 3,
            mark: 0,
            allows: false,
            stopping: false,
        };
        Alone {
            chain: Chain::new(me, durable, 1).with(false, vec![], 1),
            colleagues: Colleagues::new(summary, vec![], WIRE),
            ids: 1000 * (1 + head_ids),
        }
    }

    /// What the order is answered, at the local time `now`.
    fn order(&mut self, now: Time, op: Op) -> Verdict {
        self.ids += 1;
        let id = self.ids;
        let ask = Ask {
            id,
            from: Addr::NONE,
            at: 0,
            op,
        };
        let mut out = Out::default();
        self.chain.tick(now, &self.colleagues, &mut out);
        let mut out = Out::default();
        self.chain.propose(now, ask, &mut out);
        if let Some(seq) = self.chain.seq(&mut out) {
            self.chain.synced(now, seq, &mut out);
        }
        let answer = out.send.into_iter().find_map(|(_, m)| match m {
            Msg::Outcome { id: i, verdict } if i == id => Some(verdict),
            _ => None,
        });
        answer.expect("an answer")
    }

    fn evacuated(&self) -> bool {
        self.chain.d.state.evacuated.contains_key("geneva-1")
    }
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
fn a_head_that_was_deposed_refuses_no_configuration_by_its_own_state() {
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
    for (id, op) in [publish(7, "{}"), publish(8, &wide())]
        .into_iter()
        .enumerate()
    {
        let mut out = Out::default();
        let ask = Ask {
            id: id as u64,
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
    let last = head.chain.log.back().map(|e| e.ask.op.clone());
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

#[test]
fn an_evacuation_before_the_first_configuration_may_come_back() {
    let mut head = Alone::new(State::default());
    for on in [true, false] {
        let early = head.order(10, hold(on));
        assert_eq!(kind_of(&early), Some(Kind::Starting));
    }
    assert!(Kind::Starting.row().code == 503 && Kind::Starting.row().retry > 0);
    head.order(20, publish(7, &alumni()));
    assert_eq!(head.order(30, hold(true)).reject, None);
    assert!(head.evacuated());
}

#[test]
fn an_evacuation_that_was_confirmed_is_confirmed_again_when_its_domain_is_gone() {
    let mut head = Alone::new(State::default());
    head.order(10, publish(7, &alumni()));
    head.order(20, hold(true));
    let mut v: serde_json::Value = serde_json::from_str(&alumni()).unwrap();
    v["domains"] = serde_json::json!({"elsewhere": {"region": "elsewhere"}});
    head.chain.d.state.cfg = v.to_string();
    assert_eq!(head.order(30, hold(true)).reject, None);
    assert_eq!(head.order(WINDOW + 40, hold(false)).reject, None);
    assert!(!head.evacuated());
}

#[test]
fn a_repeat_counts_once_whatever_the_time_of_day_says() {
    for skew in [60_000, 0] {
        let mut s = State::default();
        apply(&mut s, 1000, 1_000_000, hold(true));
        apply(&mut s, 2000, 1_000_000 + skew, hold(true));
        apply(&mut s, 9000, 940_000, hold(false));
        assert!(
            !s.evacuated.contains_key("geneva-1"),
            "one order, its repeat, its end"
        );
    }
}

#[test]
fn an_evacuation_soon_after_the_state_began_can_be_ended() {
    let mut s = State::default();
    apply(&mut s, 100, 0, hold(true));
    apply(&mut s, 900, 0, hold(false));
    assert!(!s.evacuated.contains_key("geneva-1"));
}

#[test]
fn repeats_are_told_from_a_second_order_for_as_long_as_operators_repeat() {
    for bound in [5000, 6000, 8000] {
        let window = repeat_window(bound);
        let order = |on| Op::Hold {
            domain: "geneva-1".into(),
            on,
            repeat_window: window,
        };
        let ends_with_one = |gap: u64| {
            let mut s = State::default();
            apply(&mut s, 1000, 0, order(true));
            apply(&mut s, 1000 + gap, 0, order(true));
            apply(&mut s, 1000 + gap + 3000, 0, order(false));
            !s.evacuated.contains_key("geneva-1")
        };
        let fast_clock = bound + bound / 21;
        assert!(ends_with_one(bound) && ends_with_one(fast_clock), "{bound}");
        assert!(!ends_with_one(window), "{bound}: a second order");
    }
}

#[test]
fn the_agreed_clock_never_falls_and_goes_on_under_the_next_head() {
    let mut s = State::default();
    apply(&mut s, 5000, 0, hold(true));
    apply(&mut s, 3000, 0, hold(false));
    assert_eq!(s.clock, 5000);
    let mut clock = AgreedClock::default();
    clock.observe(70, s.clock);
    clock.observe(900, s.clock);
    assert_eq!(clock.read(1070), 6000);
    clock.observe(1070, 9000);
    clock.observe(1080, 4000);
    assert_eq!(clock.read(1170), 9100);
}

#[test]
fn the_head_stamps_what_it_appends_by_its_monotonic_clock() {
    let mut head = Alone::new(State::default());
    head.order(1000, publish(7, &alumni()));
    head.order(2500, hold(true));
    let stamps: Vec<u64> = head.chain.log.iter().map(|e| e.clock).collect();
    assert_eq!(stamps[1] - stamps[0], 1500);
    let mut next = Alone::new(head.chain.d.state.clone());
    next.order(10, hold(true));
    next.order(3000, hold(false));
    assert!(!next.evacuated(), "the next head took the repeat for one");
    assert_eq!(next.chain.d.state.clock, stamps[1] + 2990);
}
