#![cfg(not(loom))]
//! Who takes over where a commit is acknowledged once one of two replicas holds it: only a log that is known to hold
//! every acknowledged commit. Each test guards against an acknowledged commit that is missing after a promotion.
mod peers;

use peers::control_machine;
use std::sync::Arc;
use tenet::base::*;
use tenet::colleagues::Colleagues;
use tenet::config::Config;
use tenet::departed::STILL_RUNNING;
use tenet::pilot::{Sky, Watch};
use tenet::state::*;
use tenet::wire::{Sight, WIRE};

const DATABASE: &str = "orders";
const ME: NodeId = 1;
const OTHER: NodeId = 2;
/// Between two rounds of the controller, in ms.
const ROUND: Time = 50;

fn configuration(homes: &str) -> String {
    format!(
        r#"{{"name": "test",
        "domains": {{"zone-a": {{"region": "east"}}, "zone-b": {{"region": "west"}}}},
        "databases": {{"orders": {{"servers": "service=orders", "homes": {homes}, "cap": 80,
            "can": {{"outcomes": false, "guards": true, "keeps_state": false, "confirms": false, "synced": 1}}}}}},
        "kinds": {{"write": {{"writes": true}}, "current": {{}}}}}}"#
    )
}

fn parsed(homes: &str) -> Config {
    Config::parse(&configuration(homes)).unwrap_or_else(|e| panic!("{e:?}"))
}

/// The head of the chain with what fencing nodes tell it; `a` is the primary, `b` and `c` are its replicas.
struct Fleet {
    config: Arc<Config>,
    state: State,
    peers: Colleagues,
    watch: Watch,
    now: Time,
}

impl Fleet {
    fn new() -> Fleet {
        let me = control_machine(ME, "zone-a");
        let mut fleet = Fleet {
            config: Arc::new(parsed(r#"["east", "west"]"#)),
            state: State::default(),
            peers: Colleagues::new(me, vec![], WIRE),
            watch: Watch::default(),
            now: 10_000,
        };
        fleet.configure(r#"["east", "west"]"#);
        for (server, port) in [("a", 1), ("b", 2), ("c", 3)] {
            fleet.announce(server, port, false);
        }
        fleet.put(Op::Place {
            db: DATABASE.into(),
            fencers: vec![OTHER],
            gateways: vec![],
        });
        fleet.put(Op::Adopt {
            db: DATABASE.into(),
            server: "a".into(),
        });
        fleet
    }

    fn configure(&mut self, homes: &str) {
        let text = configuration(homes);
        self.config = Arc::new(parsed(homes));
        let base = self.state.cfg_mark;
        self.put(Op::Config { base, text });
    }

    fn announce(&mut self, server: &str, port: u16, leaving: bool) {
        self.announce_of(DATABASE, server, port, leaving);
    }

    /// An announcement of a server of any service.
    fn announce_of(&mut self, service: &str, server: &str, port: u16, leaving: bool) {
        let domain = if server == "b" { "zone-b" } else { "zone-a" };
        self.put(Op::Announce {
            server: server.into(),
            addr: Addr { ip: [9; 16], port },
            domain: domain.into(),
            labels: [("service".to_string(), service.to_string())].into(),
            life: digest(server.as_bytes()),
            leads: server == "a",
            leaving,
            terms: true,
            seq: 0,
        });
    }

    fn put(&mut self, op: Op) {
        let mark = self.state.mark + 1;
        let ask = Ask::unanswered(mark * 31, op);
        let verdict = self.state.apply(&Entry::unstamped(mark, ask));
        assert_eq!(verdict.reject, None);
    }

    fn database(&self) -> &Db {
        &self.state.dbs[DATABASE]
    }

    /// The fencing node lost the primary, and every lease that names it has run out.
    fn primary_is_lost(&mut self) {
        let epoch = self.database().epoch;
        self.put(Op::Offline {
            db: DATABASE.into(),
            epoch,
            why: "lost".into(),
        });
        self.round();
        self.now += FULL;
    }

    /// The fencing node sees a server with a log up to a position.
    fn see(&mut self, server: &str, position: u64, leads: bool) {
        self.observe(server, Some(position), leads, 0);
    }

    fn observe(&mut self, server: &str, position: Option<u64>, leads: bool, age: Time) {
        let sight = Sight {
            server: server.into(),
            life: digest(server.as_bytes()),
            age,
            reach: position.is_some(),
            pos: position.unwrap_or(0),
            follows: "a".into(),
            leads,
            link: position.is_some(),
        };
        self.watch.sights(self.now, OTHER, vec![sight]);
    }

    /// One round of the controller; what it proposes takes effect.
    fn round(&mut self) -> Vec<Op> {
        self.now += ROUND;
        let sky = Sky {
            now: self.now,
            me: ME,
            st: &self.state,
            cfg: &self.config,
            c: &self.peers,
        };
        let (ops, _) = self.watch.tick(&sky);
        for op in &ops {
            self.put(op.clone());
        }
        ops
    }

    /// Rounds for a span of time in which the fencing node sees these logs; the target, if one is chosen.
    fn target_within(&mut self, span: Time, logs: &[(&str, u64)]) -> Option<String> {
        let end = self.now + span;
        while self.now < end && self.database().target.is_none() {
            for (server, position) in logs {
                self.see(server, *position, false);
            }
            self.round();
        }
        self.database().target.clone()
    }
}

/// Guards against case 1 of the review: a replica in service was promoted before a leaving one with a longer log.
#[test]
fn the_longest_log_is_promoted_although_its_server_is_leaving() {
    let mut fleet = Fleet::new();
    fleet.announce("b", 2, true);
    fleet.primary_is_lost();
    let target = fleet.target_within(3_000, &[("b", 300), ("c", 40)]);
    assert_eq!(target.as_deref(), Some("b"));
}

/// The same for a replica in an evacuated zone.
#[test]
fn the_longest_log_is_promoted_although_its_zone_is_evacuated() {
    let mut fleet = Fleet::new();
    fleet.put(Op::Evacuate {
        domain: "zone-b".into(),
        on: true,
    });
    fleet.primary_is_lost();
    let target = fleet.target_within(3_000, &[("b", 300), ("c", 40)]);
    assert_eq!(target.as_deref(), Some("b"));
}

/// Between equal logs the one that may serve is promoted.
#[test]
fn of_equal_logs_the_one_in_service_is_promoted() {
    let mut fleet = Fleet::new();
    fleet.announce("c", 3, true);
    fleet.primary_is_lost();
    let target = fleet.target_within(3_000, &[("b", 300), ("c", 300)]);
    assert_eq!(target.as_deref(), Some("b"));
}

/// Guards against a choice by a log that was looked at while a commit could still be acknowledged.
#[test]
fn a_log_that_was_seen_before_the_old_primary_was_fenced_does_not_decide() {
    let mut fleet = Fleet::new();
    fleet.announce("b", 2, true);
    let epoch = fleet.database().epoch;
    fleet.put(Op::Offline {
        db: DATABASE.into(),
        epoch,
        why: "lost".into(),
    });
    fleet.round();
    fleet.now += FULL - 2 * ROUND;
    // Both hold as much as yet; a commit that is under way is acknowledged by the leaving one after this.
    fleet.see("b", 300, false);
    fleet.see("c", 300, false);
    assert_eq!(fleet.target_within(SIGHT_TRANSIT, &[]), None);
    let target = fleet.target_within(3_000, &[("b", 301), ("c", 300)]);
    assert_eq!(target.as_deref(), Some("b"));
}

impl Fleet {
    /// Rounds for a span of time in which these logs are seen while the old primary goes on; the first proposal that
    /// ends the failover step.
    fn planned_within(&mut self, span: Time, old: u64, logs: &[(&str, u64)]) -> Option<Op> {
        let end = self.now + span;
        while self.now < end {
            self.see("a", old, true);
            for (server, position) in logs {
                self.see(server, *position, false);
            }
            let ends = |op: &Op| matches!(op, Op::Target { .. } | Op::Reopen { .. });
            if let Some(op) = self.round().into_iter().find(ends) {
                return Some(op);
            }
        }
        None
    }

    fn planned_change(&mut self) {
        self.announce("a", 1, true);
        let epoch = self.database().epoch;
        let (db, why) = (DATABASE.to_string(), "a is leaving".to_string());
        self.put(Op::Close { db, epoch, why });
        self.primary_is_lost();
    }
}

/// Guards against a planned change that promoted a replica which had not caught up.
#[test]
fn a_planned_change_goes_back_to_the_old_primary_when_no_replica_catches_up() {
    let mut fleet = Fleet::new();
    fleet.planned_change();
    let ended = fleet.planned_within(8_000, 300, &[("c", 299)]);
    assert!(matches!(ended, Some(Op::Reopen { .. })), "{ended:?}");
    assert_eq!(fleet.database().primary.as_deref(), Some("a"));
}

/// A replica that caught up holds all that the old primary has: no other log is needed.
#[test]
fn a_planned_change_needs_only_the_replica_that_caught_up() {
    let mut fleet = Fleet::new();
    fleet.planned_change();
    let ended = fleet.planned_within(3_000, 300, &[("c", 300)]);
    assert!(
        matches!(&ended, Some(Op::Target { server, .. }) if server == "c"),
        "{ended:?}"
    );
}

/// Guards against case 2 of the review: a replica that sent DELETE and serves on was not counted any more.
#[test]
fn a_replica_that_said_it_is_gone_counts_while_it_may_still_run() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(8_000, &[("c", 40)]), None);
    let target = fleet.target_within(3_000, &[("b", 300), ("c", 40)]);
    assert_eq!(target.as_deref(), Some("b"));
}

/// The service goes on when the old primary is back with its log, although the others do not suffice.
#[test]
fn the_old_primary_goes_on_when_it_is_back_and_no_log_is_known_to_be_complete() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    fleet.primary_is_lost();
    let ended = fleet.planned_within(8_000, 300, &[("c", 40)]);
    assert!(matches!(ended, Some(Op::Reopen { .. })), "{ended:?}");
}

impl Fleet {
    fn says_gone(&mut self, server: &str) {
        self.put(Op::Depart {
            server: server.into(),
            seq: STILL_RUNNING,
        });
    }

    /// Rounds in which `b` does not answer and the others hold these logs; whether it is taken out.
    fn is_taken_out_within(&mut self, span: Time, primary: u64, replica: u64) -> bool {
        let end = self.now + span;
        while self.now < end {
            self.see("a", primary, true);
            self.see("c", replica, false);
            self.observe("b", None, false, DARK);
            self.round();
            if !self.state.servers.contains_key("b") {
                return true;
            }
        }
        false
    }
}

/// One that has ended leaves the count, but not before the others hold what the primary has.
#[test]
fn a_replica_that_has_ended_leaves_the_count_when_the_others_hold_its_log() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    assert!(!fleet.is_taken_out_within(DEPARTED_SILENT - ROUND, 300, 300));
    assert!(!fleet.is_taken_out_within(5_000, 300, 299));
    assert!(fleet.is_taken_out_within(1_000, 300, 300));
    fleet.primary_is_lost();
    let target = fleet.target_within(3_000, &[("c", 300)]);
    assert_eq!(target.as_deref(), Some("c"));
}

/// A server that starts at the address has the log of the one before it, and counts in its place.
#[test]
fn a_new_server_at_the_address_takes_the_place_of_one_that_said_it_is_gone() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    fleet.announce("d", 2, false);
    assert!(!fleet.state.servers.contains_key("b"));
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(3_000, &[("c", 40)]), None);
    let target = fleet.target_within(3_000, &[("d", 300), ("c", 40)]);
    assert_eq!(target.as_deref(), Some("d"));
}

/// Guards against a replica outside the homes, which acknowledges like the others, that was not counted.
#[test]
fn a_replica_outside_the_homes_counts_and_is_promoted_when_its_log_is_the_longest() {
    let mut fleet = Fleet::new();
    fleet.configure(r#"["east"]"#);
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(3_000, &[("c", 40)]), None);
    let target = fleet.target_within(3_000, &[("b", 300), ("c", 40)]);
    assert_eq!(target.as_deref(), Some("b"));
}

const OTHER_SERVICE: &str = "events";

/// Guards against case 6 of the second review: a server of another service came at the address of a replica that left,
/// the replica's log was not counted any more, and a shorter one was promoted.
#[test]
fn a_server_of_another_service_does_not_take_the_place_of_a_replica_that_said_it_is_gone() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    fleet.announce_of(OTHER_SERVICE, "x", 2, false);
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(8_000, &[("c", 40)]), None);
    let ended = fleet.planned_within(8_000, 300, &[("c", 40)]);
    assert!(matches!(ended, Some(Op::Reopen { .. })), "{ended:?}");
}

/// The same for a replica that ended without a word.
#[test]
fn a_server_of_another_service_does_not_take_the_place_of_a_replica_that_said_nothing() {
    let mut fleet = Fleet::new();
    fleet.announce_of(OTHER_SERVICE, "x", 2, false);
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(8_000, &[("c", 40)]), None);
}

/// A replica whose address was taken has ended: it is counted only until the others hold what the primary has.
#[test]
fn a_replica_whose_address_was_taken_leaves_the_count_when_the_others_hold_its_log() {
    let mut fleet = Fleet::new();
    fleet.announce_of(OTHER_SERVICE, "x", 2, false);
    assert!(!fleet.is_taken_out_within(5_000, 300, 299));
    assert!(fleet.is_taken_out_within(1_000, 300, 300));
    fleet.primary_is_lost();
    let target = fleet.target_within(3_000, &[("c", 300)]);
    assert_eq!(target.as_deref(), Some("c"));
}

/// A position of the primary that was seen before the address was taken proves nothing: the replica may have
/// acknowledged a commit after it.
#[test]
fn what_was_seen_before_the_address_was_taken_does_not_end_the_count() {
    let mut fleet = Fleet::new();
    fleet.see("a", 300, true);
    fleet.see("c", 300, false);
    fleet.announce_of(OTHER_SERVICE, "x", 2, false);
    fleet.round();
    assert!(fleet.state.servers.contains_key("b"));
}

/// The log went with the one before: what comes at the address after a server of another service does not have it.
#[test]
fn a_later_server_of_the_service_at_the_address_does_not_have_the_log() {
    let mut fleet = Fleet::new();
    fleet.says_gone("b");
    fleet.announce_of(OTHER_SERVICE, "x", 2, false);
    fleet.announce("d", 2, false);
    fleet.primary_is_lost();
    assert_eq!(fleet.target_within(8_000, &[("c", 40), ("d", 0)]), None);
}

/// Guards against a database whose logs are not counted that waits for a server whose address was taken.
#[test]
fn a_primary_whose_address_was_taken_is_replaced() {
    let mut fleet = Fleet::new();
    fleet.announce_of(OTHER_SERVICE, "x", 1, false);
    let end = fleet.now + 20_000;
    while fleet.now < end && fleet.database().target.is_none() {
        fleet.observe("a", None, false, DARK);
        fleet.see("b", 300, false);
        fleet.see("c", 40, false);
        fleet.round();
    }
    assert_eq!(fleet.database().target.as_deref(), Some("b"));
}
