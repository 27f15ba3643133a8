#![cfg(not(loom))]
//! Which machines vote after a repair, a planned replacement or a loss without successor.
mod support;

use support::{seat, summary, VIEW};
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::colleagues::{Colleagues, GONE, SUSPECT};
use tenet::disk::*;
use tenet::wire::{Msg, Summary, WIRE};

fn seats(ids: &[NodeId]) -> Vec<Seat> {
    ids.iter().map(|i| seat(*i)).collect()
}

/// Machine 1, which has heard of the others.
struct Proposer {
    chain: Chain,
    colleagues: Colleagues,
}

impl Proposer {
    fn new(voters: &[NodeId], copies: usize) -> Proposer {
        Proposer::in_chain(voters, voters, copies)
    }

    /// With a chain of some of the voters.
    fn in_chain(chain: &[NodeId], voters: &[NodeId], copies: usize) -> Proposer {
        let view = View::in_sync(VIEW, 1, seats(voters), seats(chain));
        let durable = Durable {
            id: 1,
            view,
            whole: VIEW,
            ..Durable::default()
        };
        Proposer {
            chain: Chain::new(seat(1), durable, 1).with(false, vec![], copies),
            colleagues: Colleagues::new(summary(1, false), vec![], WIRE),
        }
    }

    fn hears(mut self, news: &[Summary]) -> Proposer {
        for s in news {
            let probe = Msg::Probe {
                seq: 1,
                news: vec![s.clone()],
            };
            self.colleagues
                .take(10, s.id, s.addr, &probe, &mut Vec::new());
        }
        self
    }

    /// All that are alive report that they hear each other.
    fn reports(&mut self, now: Time, out: &mut Out) {
        let alive: Vec<Seat> = self.colleagues.live().map(|s| seat(s.id)).collect();
        let hears: Vec<NodeId> = alive.iter().map(|s| s.id).chain([1]).collect();
        for s in alive {
            let report = Msg::Contact {
                hears: hears.clone(),
                disk_ready: true,
            };
            self.chain
                .take(now, s.id, s.addr, report, &self.colleagues, out);
        }
    }

    /// Contact with machine `id` is lost and found again `times` times.
    fn flaps(&mut self, id: NodeId, times: Time) {
        let mut out = Out::default();
        let others: Vec<Seat> = self.colleagues.live().map(|s| seat(s.id)).collect();
        let hears: Vec<NodeId> = others.iter().map(|s| s.id).chain([1]).collect();
        let period = 10;
        for tick in 0..times * period {
            let now = 100 + tick * 100;
            let silent = tick % period >= 2;
            for s in others.iter().filter(|s| s.id != id || !silent) {
                let report = Msg::Contact {
                    hears: hears.clone(),
                    disk_ready: true,
                };
                self.chain
                    .take(now, s.id, s.addr, report, &self.colleagues, &mut out);
            }
            self.chain.agree_tick(now, &self.colleagues, &mut out);
        }
    }

    /// Time passes without a proposal, or with one that all of `promise` answer; those of them in
    /// `whole` hold the state. What is then proposed.
    fn proposes(&mut self, promise: &[NodeId], whole: &[NodeId]) -> Option<View> {
        self.proposes_until(5000, promise, whole)
    }

    /// The same up to the time `end`.
    fn proposes_until(&mut self, end: Time, promise: &[NodeId], whole: &[NodeId]) -> Option<View> {
        let mut out = Out::default();
        for now in (4000..=end).step_by(100) {
            self.reports(now, &mut out);
            self.chain.agree_tick(now, &self.colleagues, &mut out);
        }
        self.answered(end, out, promise, whole, true)
    }

    /// What is proposed once `promise` have answered; the machine hears the others until then, or it has
    /// heard nobody for a while.
    fn answered(
        &mut self,
        end: Time,
        mut out: Out,
        promise: &[NodeId],
        whole: &[NodeId],
        hears: bool,
    ) -> Option<View> {
        let ballot = out.late.iter().rev().find_map(|(_, m)| match m {
            Msg::Prepare { ballot, .. } => Some(*ballot),
            _ => None,
        })?;
        for id in promise {
            let answer = Msg::Promise {
                inst: VIEW + 1,
                ballot,
                whole: if whole.contains(id) { VIEW } else { 0 },
                accepted: 0,
                value: None,
            };
            let addr = seat(*id).addr;
            self.chain
                .agree_take(end + 10, *id, addr, answer, &self.colleagues, &mut out);
        }
        if hears {
            self.reports(end + 190, &mut out);
        }
        self.chain.agree_tick(end + 200, &self.colleagues, &mut out);
        out.late.into_iter().find_map(|(_, m)| match m {
            Msg::Accept { value, .. } => Some(value),
            _ => None,
        })
    }
}

fn ids(v: &[Seat]) -> Vec<NodeId> {
    v.iter().map(|s| s.id).collect()
}

#[test]
fn a_voter_that_stops_passes_its_vote_to_a_new_disk_in_the_view_that_lets_it_go() {
    let mut p = Proposer::new(&[1, 2, 3], 2).hears(&[
        summary(2, false),
        summary(3, true),
        summary(9, false),
    ]);
    let v = p.proposes(&[1, 2, 3], &[1, 2, 3]).unwrap();
    assert_eq!(ids(&v.voters), [1, 2, 9]);
    assert_eq!(ids(&v.chain), [1, 2, 9]);
}

#[test]
fn a_stopping_voter_passes_its_own_vote_on_when_it_proposes() {
    let mut p = Proposer::new(&[1, 2, 3], 2).hears(&[
        summary(2, false),
        summary(3, false),
        summary(9, false),
    ]);
    p.colleagues.me.stopping = true;
    let v = p.proposes(&[1, 2, 3], &[1, 2, 3]).unwrap();
    assert_eq!(ids(&v.voters), [9, 2, 3]);
    assert_eq!(ids(&v.chain), [2, 3, 9]);
}

#[test]
fn a_stopping_machine_that_holds_one_of_too_few_copies_keeps_its_vote_and_its_place() {
    let mut p = Proposer::new(&[1, 2, 3], 2).hears(&[
        summary(2, false),
        summary(3, true),
        summary(9, false),
    ]);
    let v = p.proposes(&[1, 2, 3], &[1, 3]).unwrap();
    assert_eq!(ids(&v.voters), [1, 2, 3]);
    assert!(ids(&v.chain).contains(&3), "it holds one of two copies");
}

#[test]
fn of_five_that_need_three_copies_a_stopping_one_stays_until_three_others_hold_the_state() {
    let all = [1, 2, 3, 4, 5];
    let news = |p: Proposer| {
        p.hears(&[
            summary(2, true),
            summary(3, false),
            summary(4, false),
            summary(5, false),
        ])
    };
    let early = news(Proposer::new(&all, 3)).proposes(&all, &[1, 2, 3]);
    assert_eq!(early, None, "the view that keeps it is the present one");
    let later = news(Proposer::new(&all, 3)).proposes(&all, &[1, 2, 3, 4]);
    assert_eq!(ids(&later.unwrap().chain), [1, 3, 4, 5]);
}

#[test]
fn two_of_five_voters_that_stop_without_successors_are_dropped_together() {
    let all = [1, 2, 3, 4, 5];
    let news = [
        summary(2, true),
        summary(3, true),
        summary(4, false),
        summary(5, false),
    ];
    let mut p = Proposer::new(&all, 2).hears(&news);
    let v = p.proposes(&all, &all).unwrap();
    assert_eq!(ids(&v.voters), [1, 4, 5]);
    assert_eq!(ids(&v.chain), [1, 4, 5]);
}

#[test]
fn one_of_five_voters_that_stops_without_successor_keeps_its_vote() {
    let all = [1, 2, 3, 4, 5];
    let news = [
        summary(2, true),
        summary(3, false),
        summary(4, false),
        summary(5, false),
    ];
    let mut p = Proposer::new(&all, 2).hears(&news);
    assert_eq!(ids(&p.proposes(&all, &all).unwrap().voters), all);
}

#[test]
fn a_machine_that_leaves_waits_until_its_vote_is_taken_while_a_new_disk_is_there() {
    let alone = Proposer::new(&[1, 2, 3], 2).hears(&[summary(2, false), summary(3, false)]);
    assert!(!alone.chain.hands_over(&alone.colleagues));
    let relieved = alone.hears(&[summary(9, false)]);
    assert!(relieved.chain.hands_over(&relieved.colleagues));
    let voteless = Proposer::new(&[2, 3, 4], 2).hears(&[summary(9, false)]);
    assert!(!voteless.chain.hands_over(&voteless.colleagues));
}

/// Machine 1 in a chain with 2; the link to the voter 3 has flapped, and holds from 4,000 ms on.
fn after_flaps(copies: usize) -> Proposer {
    let mut proposer = Proposer::in_chain(&[1, 2], &[1, 2, 3], copies)
        .hears(&[summary(2, false), summary(3, false)]);
    proposer.flaps(3, 3);
    proposer
}

#[test]
fn a_flapping_machine_joins_a_chain_that_takes_changes_only_after_its_time() {
    let view = after_flaps(2).proposes_until(7500, &[1, 2, 3], &[1, 2]);
    assert_eq!(view, None, "three losses make it wait for 4 s");
}

#[test]
fn a_flapping_machine_without_which_no_change_is_taken_joins_sooner() {
    let end = 4000 + RETURN_NEEDED + 1500;
    let view = after_flaps(3).proposes_until(end, &[1, 2, 3], &[1, 2]);
    assert_eq!(ids(&view.expect("a view").chain), [1, 2, 3]);
}

#[test]
fn a_machine_that_went_deaf_while_it_proposed_does_not_make_itself_the_whole_chain() {
    let mut deaf = Proposer::new(&[1, 2, 3], 2).hears(&[summary(2, false), summary(3, true)]);
    let mut out = Out::default();
    for now in (4000..=6000).step_by(100) {
        if now <= 5000 {
            deaf.reports(now, &mut out);
        }
        deaf.chain.agree_tick(now, &deaf.colleagues, &mut out);
    }
    let view = deaf.answered(6000, out, &[1, 2, 3], &[1, 2, 3], false);
    assert_eq!(view, None);
}

#[test]
fn no_view_is_built_on_votes_of_which_none_holds_the_state() {
    let mut p = Proposer::new(&[1, 2, 9], 2).hears(&[summary(9, false)]);
    p.chain.d.whole = 0;
    assert_eq!(p.proposes(&[1, 9], &[]), None);
}

#[test]
fn a_machine_that_started_again_is_not_taken_for_stopping_by_what_its_earlier_life_said() {
    let mut me = Colleagues::new(summary(1, false), vec![], WIRE);
    let earlier = Summary {
        life: 7,
        ..summary(1, true)
    };
    let probe = Msg::Probe {
        seq: 1,
        news: vec![summary(2, false), earlier],
    };
    me.take(10, 2, seat(2).addr, &probe, &mut Vec::new());
    assert!(me.me.life > 7, "its clock fell, its life must not");
}

#[test]
fn a_lost_voter_is_replaced_soon_after_gossip_gave_it_up_and_not_while_it_is_suspect() {
    let mut p = Proposer::new(&[1, 2, 3], 2).hears(&[summary(2, false), summary(3, false)]);
    let status = |status| Summary {
        status,
        ..summary(3, false)
    };
    p = p.hears(&[status(SUSPECT)]);
    assert!(!p.chain.missing(3, 10 + VOTER_REPLACE + 1, &p.colleagues));
    p = p.hears(&[status(GONE)]);
    assert!(!p.chain.missing(3, 10 + VOTER_REPLACE, &p.colleagues));
    assert!(p.chain.missing(3, 10 + VOTER_REPLACE + 1, &p.colleagues));
    let longest = PROBE_DIRECT + PROBE_INDIRECT + SUSPICION + VOTER_REPLACE;
    assert!(
        longest + VIEW_HOLD < 3000,
        "a successor has 4 s, and comes 1 s later"
    );
}
