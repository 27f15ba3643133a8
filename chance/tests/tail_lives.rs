//! A tail that restarted must not count a grant that a voter gave to its earlier life.

use chance::model::setup::{colleagues, founded, seat};
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::wire::Msg;

const TAIL: usize = 2;
const VOTER: usize = 1;

fn known(index: usize) -> Colleagues {
    colleagues(index, &[None; 3], &[1; 3], 0)
}

fn started(index: usize, now: u64) -> Chain {
    Chain::new(seat(index), founded(index), now)
        .with(true, Vec::new(), 2)
        .requesting_from(now << 16)
}

/// Gives a message to a machine and returns what it sends.
fn give(chain: &mut Chain, now: u64, from: usize, message: Msg, at: usize) -> Vec<Msg> {
    let mut out = Out::default();
    let sender = seat(from);
    chain.take(now, sender.id, sender.addr, message, &known(at), &mut out);
    chain.settled(&mut out);
    out.send.into_iter().map(|(_, message)| message).collect()
}

/// What the tail asks of its voters at `now`.
fn asked(tail: &mut Chain, now: u64) -> Msg {
    let mut out = Out::default();
    tail.tick(now, &known(TAIL), &mut out);
    tail.settled(&mut out);
    let mut sent = out.send.into_iter().map(|(_, message)| message);
    sent.find(|m| matches!(m, Msg::TailAsk { .. })).unwrap()
}

fn grant(voter: &mut Chain, now: u64, ask: Msg) -> Msg {
    let sent = give(voter, now, TAIL, ask, VOTER);
    let mut sent = sent.into_iter();
    sent.find(|m| matches!(m, Msg::TailGrant { .. })).unwrap()
}

#[test]
fn a_grant_to_an_earlier_life_of_the_tail_gives_no_lease() {
    let mut voter = started(VOTER, 0);
    let mut earlier_life = started(TAIL, 0);
    let ask = asked(&mut earlier_life, 10_000);
    let late_grant = grant(&mut voter, 10_000, ask);

    let mut tail = started(TAIL, 10_100);
    let ask = asked(&mut tail, 10_500);
    let own_grant = give(&mut tail, 10_500, TAIL, ask, TAIL);
    for message in own_grant {
        give(&mut tail, 10_500, TAIL, message, TAIL);
    }
    give(&mut tail, 10_510, VOTER, late_grant, TAIL);

    // The voter's promise to grant nobody else ended at 10,660.
    assert!(!tail.serves_readers(10_700));
}
