//! Snapshots in parts, and replicas that are behind.
#![cfg(not(loom))]
mod support;

use support::*;
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::disk::Rec;
use tenet::follow::Follow;
use tenet::snapshot::*;
use tenet::state::State;
use tenet::wire::{Changes, Msg};

const PART_LIMIT: usize = 64 << 10;

fn state_of(version: u64) -> State {
    let mut head = replica_in(&view_of(&[1, 2, 3]), 1, true);
    publish(&mut head, version, 1500);
    head.d.state
}

#[test]
fn a_snapshot_is_resumed_where_it_broke_off_also_from_another_sender() {
    let state = state_of(7);
    let (mut first, mut second) = (SnapshotSender::default(), SnapshotSender::default());
    let id = first.offer(1, &state, 0);
    assert_eq!(second.offer(1, &state, 0), id);
    let mut receiver = SnapshotReceiver::default();
    let mut next = receiver.offered(1, id);
    let (mut now, mut sent, mut lost) = (1, 0, 0);
    for turn in 0.. {
        let offset = next.expect("there is always a next part");
        let sender = if turn < 4 { &mut first } else { &mut second };
        let part = sender.part(now, id, offset).unwrap();
        assert!(part.bytes.len() <= PART_LIMIT, "{} bytes", part.bytes.len());
        sent += part.bytes.len();
        if turn % 3 == 1 {
            lost += part.bytes.len();
            assert_eq!(
                receiver.ask_again(now + 1),
                None,
                "it may still be under way"
            );
            now += 1000;
            next = receiver.ask_again(now).map(|(_, offset)| offset);
            continue;
        }
        match receiver.take(now, &part) {
            Received::More { offset, .. } => next = Some(offset),
            Received::Whole(read) => {
                assert!(read.cfg == state.cfg && read.mark == state.mark);
                break;
            }
            _ => panic!("part {turn} was not taken"),
        }
        assert!(matches!(receiver.take(now, &part), Received::Ignored));
    }
    assert_eq!(
        sent,
        id.length as usize + lost,
        "only lost parts are sent twice"
    );
}

#[test]
fn parts_that_were_damaged_on_their_way_make_no_state() {
    let mut sender = SnapshotSender::default();
    let id = sender.offer(1, &state_of(7), 0);
    let mut receiver = SnapshotReceiver::default();
    let mut next = receiver.offered(1, id);
    while let Some(offset) = next {
        let mut part = sender.part(1, id, offset).unwrap();
        part.bytes[9] ^= 1;
        next = match receiver.take(1, &part) {
            Received::More { offset, .. } => Some(offset),
            Received::Damaged => None,
            _ => panic!("it was taken"),
        };
    }
    assert_eq!(receiver.offered(2, id), Some(0), "it begins anew");
}

const LATENCY: Time = 40;
const STEP: Time = 5;

/// A head and its successor with messages that take a while, and of which some are lost.
struct Pair {
    replicas: [Chain; 2],
    on_the_way: Vec<(Time, usize, Msg)>,
    now: Time,
    sent: u64,
    /// One message of so many is lost, by chance.
    lose_each: u64,
    seed: u64,
}

impl Pair {
    fn new(head: Chain, successor: Chain, lose_each: u64, seed: u64) -> Self {
        Pair {
            replicas: [head, successor],
            on_the_way: Vec::new(),
            now: 10_000,
            sent: 0,
            lose_each,
            seed,
        }
    }

    fn run(&mut self, i: usize, f: impl FnOnce(&mut Chain, Time, &mut Out)) {
        let mut out = Out::default();
        let replica = &mut self.replicas[i];
        f(replica, self.now, &mut out);
        sync(replica, self.now, &mut out);
        replica.settled(&mut out);
        for (to, message) in out.send {
            self.sent += 1;
            let lost = mix(self.sent ^ mix(self.seed)).is_multiple_of(self.lose_each);
            let to = [seat(1).addr, seat(2).addr].iter().position(|a| *a == to);
            let between = to.filter(|to| *to != i && !lost);
            self.on_the_way
                .extend(between.map(|to| (self.now + LATENCY, to, message)));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let all = std::mem::take(&mut self.on_the_way);
        for (at, to, message) in all {
            if at > self.now {
                self.on_the_way.push((at, to, message));
                continue;
            }
            let from = seat(2 - to as u64);
            let known = gossip(to as u64 + 1, &[1, 2]);
            self.run(to, |replica, now, out| {
                replica.take(now, from.id, from.addr, message, &known, out)
            });
        }
        for i in 0..2 {
            let known = gossip(i as u64 + 1, &[1, 2]);
            self.run(i, |replica, now, out| {
                replica.tick(now, &known, out);
            });
        }
    }

    fn in_sync(&self) -> bool {
        let [head, successor] = &self.replicas;
        successor.whole()
            && successor.synced == head.synced
            && successor.d.state.cfg == head.d.state.cfg
    }

    fn until_in_sync(&mut self) -> Time {
        let began = self.now;
        while !self.in_sync() {
            self.step();
            assert!(self.now < began + 20_000, "it never caught up");
        }
        self.now - began
    }
}

#[test]
fn a_successor_restarted_at_any_point_of_a_long_history_is_in_sync_within_four_seconds() {
    let view = view_of(&[1, 2]);
    let mut head = replica_in(&view, 1, true);
    let mut version = 0;
    for changes in [100, 300, 1000, 3000] {
        while version < changes {
            version += 1;
            publish(&mut head, version, 400);
        }
        for (whole, seed) in [true, false]
            .into_iter()
            .flat_map(|w| (1..=4).map(move |s| (w, s)))
        {
            let durable = head.d.clone();
            let mut sender = Chain::new(seat(1), durable, 1);
            sender.synced = head.synced;
            let mut pair = Pair::new(sender, replica_in(&view, 2, whole), 5, seed);
            let took = pair.until_in_sync();
            println!("{changes} changes, in sync at its start {whole}: {took} ms");
            assert!(took <= 4000, "{took} ms after {changes} changes");
        }
    }
}

#[test]
fn a_successor_within_reach_of_the_log_gets_entries_and_no_snapshot() {
    let view = view_of(&[1, 2]);
    let mut head = replica_in(&view, 1, true);
    (1..=20).for_each(|version| {
        publish(&mut head, version, 400);
    });
    let mut pair = Pair::new(head, replica_in(&view, 2, true), u64::MAX, 0);
    let took = pair.until_in_sync();
    assert!(took <= 500, "{took} ms");
    assert!(pair.replicas[1].log.first_index() == Some(1));
}

#[test]
fn a_replica_says_that_nothing_is_synced_until_its_snapshot_is() {
    let view = view_of(&[1, 2]);
    let mut successor = replica_in(&view, 2, false);
    let known = gossip(2, &[1, 2]);
    successor.d.state = state_of(7);
    successor.d.state.mark = 105;
    successor.synced = 105;
    let mut sender = SnapshotSender::default();
    let id = sender.offer(1, &state_of(7), 0);
    let from = seat(1);
    let mut out = Out::default();
    let offer = Msg::SnapshotOffer {
        view: VIEW,
        reader: SnapshotReader::Successor,
        id,
    };
    successor.take(20, 1, from.addr, offer, &known, &mut out);
    while let Some((_, Msg::SnapshotAsk { id, offset, .. })) = out.send.pop() {
        let part = Msg::SnapshotPart {
            view: VIEW,
            reader: SnapshotReader::Successor,
            part: sender.part(20, id, offset).unwrap(),
        };
        successor.take(20, 1, from.addr, part, &known, &mut out);
    }
    assert!(matches!(out.write[..], [Rec::Snapshot { .. }]));
    let sequence = successor.seq(&mut out).unwrap();
    let append = Msg::Append {
        view: VIEW,
        prev: id.index,
        entries: vec![],
    };
    out.send.clear();
    successor.take(21, 1, from.addr, append, &known, &mut out);
    let said = |out: &Out| match out.send.last() {
        Some((_, Msg::Have { mark, .. })) => *mark,
        _ => panic!("it says what it has"),
    };
    assert_eq!(said(&out), 0, "its disk holds nothing of this view yet");
    successor.synced(30, sequence, &mut out);
    assert_eq!(said(&out), id.index);
}

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
