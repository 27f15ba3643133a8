#![cfg(not(loom))]
//! Answers on the control side belong to the question that was asked, by this life of the process.
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::control::*;
use tenet::disk::*;
use tenet::follow::Follow;
use tenet::kind::{Kind, Reject};
use tenet::state::{Ask, Op, Verdict};
use tenet::wire::*;

const SEATS: u16 = 3;

fn seat(port: u16) -> Seat {
    Seat {
        id: port as NodeId,
        addr: Addr { ip: [7; 16], port },
    }
}

fn view() -> View {
    let seats: Vec<Seat> = (1..=SEATS).map(seat).collect();
    View::in_sync(3, 1, seats.clone(), seats)
}

fn packet(from: u16, msg: Msg) -> In {
    In::Packet(Packet {
        from: from as NodeId,
        addr: seat(from).addr,
        cluster: 1,
        msg,
    })
}

/// A process without a disk that knows the chain.
fn follower(seed: u64) -> Control {
    let start = Start {
        addr: seat(9).addr,
        http: seat(9).addr,
        domain: "geneva-1".into(),
        disk: false,
        seeds: Vec::new(),
        found: false,
        founders: Vec::new(),
        copies: 2,
        durable: None,
        seed,
        wall: 1_000_000,
        wire: WIRE,
    };
    let (mut control, _) = Control::new(start, 1);
    control.poll(2, packet(1, Msg::ViewIs { view: view() }));
    control
}

fn asked(effect: &Effect) -> Ask {
    let mut asks = effect.send.iter().filter_map(|(_, p)| match &p.msg {
        Msg::Propose { ask } => Some(ask.clone()),
        _ => None,
    });
    asks.next().expect("an ask to the chain")
}

fn drain(call: u64, server: &str) -> In {
    let op = Op::Drain {
        server: server.into(),
        on: true,
    };
    In::Ask {
        call,
        id: Some(7),
        op,
    }
}

fn outcome(ask: &Ask, reject: Option<Reject>) -> In {
    let question = ask.question;
    let verdict = Verdict { mark: 5, reject };
    packet(1, Msg::Outcome { question, verdict })
}

/// Whom an effect answers, and whether with an acceptance.
fn told(effect: &Effect) -> Vec<(u64, bool)> {
    let accepted = |r: &Reply| matches!(r, Reply::Verdict(v) if v.reject.is_none());
    effect
        .response
        .iter()
        .map(|(call, r)| (*call, accepted(r)))
        .collect()
}

#[test]
fn two_orders_under_one_id_get_a_verdict_each() {
    let mut control = follower(1);
    let first = asked(&control.poll(10, drain(31, "a")));
    let second = asked(&control.poll(11, drain(32, "b")));
    let refused = Reject::new(Kind::OtherBody, "id 7 was used for another change");
    let to_second = control.poll(12, outcome(&second, Some(refused)));
    assert_eq!(told(&to_second), [(32, false)]);
    let to_first = control.poll(13, outcome(&first, None));
    assert_eq!(told(&to_first), [(31, true)]);
    let again = control.poll(14, outcome(&first, None));
    assert_eq!(told(&again), [], "an outcome that comes twice");
}

#[test]
fn an_outcome_for_an_earlier_life_answers_nobody() {
    let mut earlier = follower(1);
    let ask = asked(&earlier.poll(10, drain(31, "a")));
    let mut control = follower(2);
    let own = asked(&control.poll(10, drain(31, "b")));
    assert_eq!(told(&control.poll(11, outcome(&ask, None))), []);
    assert_eq!(told(&control.poll(12, outcome(&own, None))), [(31, true)]);
}

fn refreshes(effect: &Effect) -> Option<u64> {
    effect.send.iter().find_map(|(_, p)| match &p.msg {
        Msg::Refresh { seq, .. } => Some(*seq),
        _ => None,
    })
}

#[test]
fn an_answer_to_an_earlier_life_gives_no_lease() {
    let numbers = |seed| {
        let mut control = follower(seed);
        let seen = (1..40).filter_map(|i| refreshes(&control.poll(10 + i * 50, In::Wakeup)));
        seen.collect::<Vec<u64>>()
    };
    let (earlier, later) = (numbers(1), numbers(2));
    assert!(earlier.len() > 3 && later.len() > 3);
    assert!(earlier.iter().all(|n| !later.contains(n)));
}

#[test]
fn an_answer_that_nobody_asked_for_gives_no_lease() {
    let mut follow = Follow::new(view(), 40);
    let part = Changes::Entries(vec![]);
    follow.fresh(20, 1, 0, part, view());
    assert!(!follow.holds(21));
}

fn colleagues() -> Colleagues {
    let me = Summary {
        id: SEATS as NodeId,
        addr: seat(SEATS).addr,
        http: Addr::NONE,
        domain: "a".into(),
        disk: true,
        life: 1,
        status: 0,
        view: 3,
        mark: 0,
        allows: true,
        stopping: false,
    };
    Colleagues::new(me, vec![], WIRE)
}

/// The tail, and the numbers of its first asks for a lease.
fn tail(first: u64) -> (Chain, Vec<u64>) {
    let durable = Durable {
        id: SEATS as NodeId,
        view: view(),
        whole: 3,
        ..Durable::default()
    };
    let mut chain = Chain::new(seat(SEATS), durable, 1).requesting_from(first);
    let mut out = Out::default();
    (0..8).for_each(|i| {
        chain.tick(10 + i * 50, &colleagues(), &mut out);
    });
    let all = out.late.iter().chain(out.send.iter());
    let mut seqs: Vec<u64> = all
        .filter_map(|(_, m)| match m {
            Msg::TailAsk { seq, .. } => Some(*seq),
            _ => None,
        })
        .collect();
    seqs.dedup();
    (chain, seqs)
}

/// Whether the tail answers a follower once both other voters granted these numbers.
fn answers(chain: &mut Chain, seqs: &[u64]) -> bool {
    let mut out = Out::default();
    let now = 380;
    for (voter, seq) in [1u16, 2]
        .iter()
        .flat_map(|v| seqs.iter().map(move |s| (*v, *s)))
    {
        let grant = Msg::TailGrant { view: 3, seq };
        let from = seat(voter);
        chain.take(now, from.id, from.addr, grant, &colleagues(), &mut out);
    }
    let ask = Msg::Refresh {
        seq: 1,
        have: 0,
        cluster: 1,
    };
    chain.take(now, 9, seat(9).addr, ask, &colleagues(), &mut out);
    let answer = |m: &Msg| matches!(m, Msg::Fresh { .. });
    out.send.iter().chain(&out.late).any(|(_, m)| answer(m))
}

#[test]
fn grants_to_an_earlier_life_of_the_tail_give_it_no_lease() {
    let (_, earlier) = tail(1_000);
    let (mut chain, own) = tail(2_000);
    assert!(!earlier.is_empty() && !own.is_empty());
    assert!(!answers(&mut chain, &earlier));
    assert!(answers(&mut chain, &own));
}
