//! Who is behind serves and leads nothing: head, tail, voter and follower.
#![cfg(not(loom))]
mod support;

use support::*;
use tenet::chain::Out;
use tenet::follow::Follow;
use tenet::snapshot::*;
use tenet::wire::{Changes, Msg};

#[test]
fn a_head_that_is_behind_takes_no_change() {
    let view = view_of(&[1, 2, 3]);
    for whole in [true, false] {
        let mut head = replica_in(&view, 1, whole);
        let mut out = Out::default();
        head.propose(1, publication(1, 10), &mut out);
        assert_eq!(!out.write.is_empty(), whole);
    }
}

#[test]
fn a_tail_that_is_behind_asks_for_no_lease_and_answers_no_follower() {
    let view = view_of(&[1, 2, 3]);
    let known = gossip(3, &[1, 2, 3]);
    for whole in [true, false] {
        let mut tail = replica_in(&view, 3, whole);
        let mut out = Out::default();
        tail.tick(5000, &known, &mut out);
        tail.settled(&mut out);
        let lease = |m: &Msg| matches!(m, Msg::TailAsk { .. });
        assert_eq!(out.send.iter().any(|(_, m)| lease(m)), whole);
        let grants: Vec<u64> = out
            .send
            .iter()
            .filter_map(|(_, m)| match m {
                Msg::TailAsk { seq, .. } => Some(*seq),
                _ => None,
            })
            .chain([1])
            .collect();
        for (voter, seq) in [1, 2].into_iter().zip(std::iter::repeat(grants[0])) {
            let grant = Msg::TailGrant { view: VIEW, seq };
            tail.take(5001, voter, seat(voter).addr, grant, &known, &mut out);
        }
        out.send.clear();
        let refresh = Msg::Refresh {
            seq: 1,
            have: 0,
            cluster: 1,
        };
        tail.take(5002, 9, seat(9).addr, refresh, &known, &mut out);
        let id = SnapshotId::default();
        let ask = Msg::SnapshotAsk {
            view: VIEW,
            reader: SnapshotReader::Follower,
            id,
            offset: 0,
        };
        tail.take(5002, 9, seat(9).addr, ask, &known, &mut out);
        let served = |m: &Msg| matches!(m, Msg::Fresh { .. } | Msg::SnapshotOffer { .. });
        let answers = out.send.iter().filter(|(_, m)| served(m)).count();
        assert_eq!(answers, if whole { 2 } else { 0 });
    }
}

#[test]
fn a_voter_that_is_behind_says_so_in_its_promise() {
    let view = view_of(&[1, 2, 3]);
    let known = gossip(2, &[1, 2, 3]);
    for whole in [true, false] {
        let mut voter = replica_in(&view, 2, whole);
        let mut out = Out::default();
        let prepare = Msg::Prepare {
            inst: VIEW + 1,
            ballot: 256,
        };
        let report = Msg::Contact {
            hears: vec![2],
            disk_ready: true,
        };
        voter.take(4990, 1, seat(1).addr, report, &known, &mut out);
        voter.take(5000, 1, seat(1).addr, prepare, &known, &mut out);
        sync(&mut voter, 5001, &mut out);
        let promised = out.send.iter().find_map(|(_, m)| match m {
            Msg::Promise { whole, .. } => Some(*whole),
            _ => None,
        });
        assert_eq!(promised, Some(if whole { VIEW } else { 0 }));
    }
}

#[test]
fn a_follower_that_is_behind_gets_no_lease() {
    let view = view_of(&[1, 2, 3]);
    let mut head = replica_in(&view, 1, true);
    (1..=5).for_each(|version| {
        publish(&mut head, version, 10);
    });
    let entries = |from, to| head.log.range(from, to).cloned().collect::<Vec<_>>();
    let mut follower = Follow::new(view.clone(), 0);
    let mut known = gossip(9, &[1, 2, 3]);
    let mut send = Vec::new();
    follower.tick(100, &mut known, &mut send);
    let id = SnapshotId {
        index: 5,
        digest: 1,
        length: 9,
    };
    follower.fresh(110, 1, 5, Changes::Snapshot(id), view.clone());
    assert!(
        !follower.holds(111),
        "a snapshot was offered, it holds nothing yet"
    );
    follower.fresh(120, 1, 5, Changes::Entries(entries(0, 3)), view.clone());
    assert!(!follower.holds(121) && follower.state.mark == 3);
    follower.fresh(130, 1, 5, Changes::Entries(entries(4, 5)), view.clone());
    assert!(
        !follower.holds(131) && follower.state.mark == 3,
        "there is a gap"
    );
    follower.fresh(140, 1, 5, Changes::Entries(entries(3, 5)), view);
    assert!(follower.holds(141) && follower.state.mark == 5);
}

#[test]
fn a_follower_whose_document_is_another_one_asks_for_a_snapshot() {
    let view = view_of(&[1, 2, 3]);
    let mut head = replica_in(&view, 1, true);
    (1..=3).for_each(|version| {
        publish(&mut head, version, 10);
    });
    let entries = |from, to| head.log.range(from, to).cloned().collect::<Vec<_>>();
    let mut follower = Follow::new(view.clone(), 0);
    follower.state.cluster = 1;
    follower.fresh(100, 0, 3, Changes::Entries(entries(0, 1)), view.clone());
    follower.state.cfg = "another document".into();
    follower.fresh(110, 0, 3, Changes::Entries(entries(1, 3)), view);
    assert_eq!(
        follower.state.mark, 1,
        "what does not follow is not applied"
    );
    let mut send = Vec::new();
    follower.tick(200, &mut gossip(9, &[1, 2, 3]), &mut send);
    let asks = |m: &Msg| matches!(m, Msg::Refresh { cluster: 0, .. });
    assert!(send.iter().any(|(_, m)| asks(m)));
}
