#![cfg(not(loom))]
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::disk::*;
use tenet::state::{Ask, Op};
use tenet::wire::{Msg, Summary, WIRE};

fn seat(id: NodeId, port: u16) -> Seat {
    Seat {
        id,
        addr: Addr { ip: [7; 16], port },
    }
}

fn chain(me: Seat, v: Vec<Seat>, whole: Mark) -> Chain {
    let view = View::in_sync(3, 1, v.clone(), v);
    Chain::new(
        me,
        Durable {
            id: me.id,
            view,
            whole,
            ..Durable::default()
        },
        1,
    )
}

fn ask() -> Ask {
    Ask {
        question: 0,
        id: 1,
        from: seat(8, 8).addr,
        at: 0,
        op: Op::Phase {
            id: 4,
            event: "settle".into(),
        },
    }
}

#[test]
fn a_newcomer_at_the_lost_head_s_address_does_not_pass_asks_to_itself() {
    let mut c = chain(seat(9, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 0);
    let mut out = Out::default();
    c.propose(1, ask(), &mut out);
    assert!(out.send.is_empty(), "it would ask itself for ever");
    let mut c = chain(seat(2, 2), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    c.propose(1, ask(), &mut out);
    assert_eq!(out.send.len(), 1);
}

#[test]
fn a_quiet_hour_does_not_make_the_next_entry_look_stuck() {
    let mut c = chain(seat(1, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    let mut out = Out::default();
    c.propose(1, ask(), &mut out);
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
        c.adopt(
            10,
            View::in_sync(4, 1, old.clone(), to),
            &mut Out::default(),
        );
        c.whole()
    };
    assert!(
        !moved(seat(1, 1), [2, 3, 1]),
        "the old head may hold entries nobody else has"
    );
    assert!(!moved(seat(2, 2), [1, 3, 2]));
    assert!(
        moved(seat(3, 3), [1, 2, 3])
            && moved(seat(2, 2), [2, 3, 1])
            && moved(seat(3, 3), [2, 3, 1])
    );
}

#[test]
fn a_voter_whose_disk_was_lost_is_replaced_as_soon_as_another_stands_at_its_address() {
    let c = chain(seat(1, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    let told = |id, port| Summary {
        id,
        addr: seat(id, port).addr,
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
    let mut p = Colleagues::new(told(1, 1), vec![], WIRE);
    let news = vec![told(2, 2), told(3, 3)];
    p.take(
        10,
        2,
        seat(2, 2).addr,
        &Msg::Probe { seq: 1, news },
        &mut Vec::new(),
    );
    assert!(!c.missing(2, 20, &p) && !c.missing(3, 20, &p));
    let news = vec![told(9, 3)];
    p.take(
        30,
        9,
        seat(9, 3).addr,
        &Msg::Probe { seq: 1, news },
        &mut Vec::new(),
    );
    assert!(c.missing(3, 31, &p) && !c.missing(2, 31, &p));
}

#[test]
fn voters_grow_by_two_when_two_more_disks_are_there() {
    let told = |id: u64| Summary {
        id,
        addr: seat(id, id as u16).addr,
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
    let c = chain(seat(1, 1), vec![seat(1, 1), seat(2, 2), seat(3, 3)], 3);
    let mut p = Colleagues::new(told(1), vec![], WIRE);
    for id in 2..=6 {
        p.take(
            10,
            id,
            seat(id, id as u16).addr,
            &Msg::Probe {
                seq: 1,
                news: vec![told(id)],
            },
            &mut Vec::new(),
        );
        assert_eq!(c.joiners(&p).len(), id.saturating_sub(3) as usize);
    }
}
