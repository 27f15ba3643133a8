#![cfg(not(loom))]
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::disk::*;
use tenet::state::{Ask, Op};

fn seat(id: NodeId, port: u16) -> Seat {
    Seat { id, addr: Addr { ip: [7; 16], port } }
}

fn chain(me: Seat, v: Vec<Seat>, whole: Mark) -> Chain {
    let view = View { n: 3, cluster: 1, voters: v.clone(), chain: v };
    Chain::new(me, Durable { id: me.id, view, whole, ..Durable::default() }, 1)
}

fn ask() -> Ask {
    Ask { id: 1, from: seat(8, 8).addr, at: 0, op: Op::Phase { id: 4, event: "settle".into() } }
}

#[test]
fn a_newcomer_at_the_lost_head_s_address_does_not_pass_asks_to_itself() {
    let mut c = chain(seat(9, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 0);
    let mut out = Out::default();
    c.propose(ask(), &mut out);
    assert!(out.send.is_empty(), "it would ask itself for ever");
    let mut c = chain(seat(2, 2), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    c.propose(ask(), &mut out);
    assert_eq!(out.send.len(), 1);
}

#[test]
fn a_quiet_hour_does_not_make_the_next_entry_look_stuck() {
    let mut c = chain(seat(1, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    let mut out = Out::default();
    c.propose(ask(), &mut out);
    let s = c.seq(&mut out).unwrap_or(0);
    c.synced(3_600_000, s, &mut out);
    assert!(!c.stuck(3_600_500) && c.stuck(3_601_100));
}

#[test]
fn who_is_moved_behind_another_takes_a_frame_and_drops_what_only_it_held() {
    let old = vec![seat(1, 1), seat(2, 2), seat(3, 3)];
    let moved = |me: Seat, order: [u64; 3]| {
        let mut c = chain(me, old.clone(), 3);
        let to = order.map(|i| seat(i, i as u16)).to_vec();
        c.adopt(10, View { n: 4, cluster: 1, voters: old.clone(), chain: to }, &mut Out::default());
        c.whole()
    };
    assert!(!moved(seat(1, 1), [2, 3, 1]), "the old head may hold entries nobody else has");
    assert!(!moved(seat(2, 2), [1, 3, 2]));
    assert!(moved(seat(3, 3), [1, 2, 3]) && moved(seat(2, 2), [2, 3, 1]) && moved(seat(3, 3), [2, 3, 1]));
}
