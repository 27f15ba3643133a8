#![cfg(not(loom))]
//! Evacuations, their repeats, and the clock by which the two are told apart.
mod alone;

use alone::{alumni, apply, kind_of, publish, Alone};
use tenet::base::Addr;
use tenet::bounds::repeat_window;
use tenet::clock::AgreedClock;
use tenet::control::{Control, In, Reply, Start};
use tenet::kind::Kind;
use tenet::state::*;
use tenet::wire::WIRE;

const WINDOW: u64 = repeat_window(6000);

fn hold(on: bool) -> Op {
    Op::Hold {
        domain: "geneva-1".into(),
        on,
        repeat_window: WINDOW,
    }
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
    head.chain.d.state.cfg = v.to_string().as_str().into();
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
    let stamps: Vec<u64> = head.chain.log.range(0, u64::MAX).map(|e| e.clock).collect();
    assert_eq!(stamps[1] - stamps[0], 1500);
    let mut next = Alone::new(head.chain.d.state.clone());
    next.order(10, hold(true));
    next.order(3000, hold(false));
    assert!(!next.evacuated(), "the next head took the repeat for one");
    assert_eq!(next.chain.d.state.clock, stamps[1] + 2990);
}

#[test]
fn an_evacuation_of_an_unknown_domain_is_refused_and_counts_for_nothing() {
    let mut head = Alone::new(State::default());
    head.order(10, publish(7, &alumni()));
    let unknown = head.order(
        20,
        Op::Hold {
            domain: "nowhere".into(),
            on: true,
            repeat_window: WINDOW,
        },
    );
    assert_eq!(kind_of(&unknown), Some(Kind::UnknownName));
    assert!(head.chain.d.state.holds.is_empty());
}

fn lone_node() -> Control {
    let addr = Addr {
        ip: [7; 16],
        port: 1,
    };
    let start = Start {
        addr,
        http: addr,
        domain: "geneva-1".into(),
        disk: true,
        seeds: vec![],
        found: false,
        founders: vec![],
        copies: 2,
        durable: None,
        seed: 1,
        wall: 1_000_000,
        wire: WIRE,
    };
    Control::new(start, 1).0
}

#[test]
fn a_node_that_knows_no_chain_answers_an_evacuation_at_once() {
    let mut node = lone_node();
    for on in [true, false] {
        let op = hold(on);
        let effect = node.poll(
            10,
            In::Ask {
                call: 5,
                id: None,
                op,
            },
        );
        match &effect.response[..] {
            [(5, Reply::Reject(r))] => assert_eq!(r.kind, Kind::Starting),
            other => panic!("{} answers", other.len()),
        }
    }
}
