#![cfg(not(loom))]
//! The platform's answer to a promotion counts for the ask that it answers.
mod peers;

use peers::control_machine;
use std::sync::Arc;
use tenet::base::*;
use tenet::colleagues::Colleagues;
use tenet::config::Config;
use tenet::pilot::{Promote, Sky, Watch};
use tenet::state::*;
use tenet::wire::{Sight, WIRE};

const ALUMNI: &str = include_str!("../../examples/alumni.json");
const DATABASE: &str = "members";
const ME: NodeId = 1;
const OTHER: NodeId = 2;

struct Fleet {
    config: Arc<Config>,
    state: State,
    peers: Colleagues,
    watch: Watch,
}

impl Fleet {
    fn new() -> Fleet {
        let me = control_machine(ME, "geneva-1");
        let mut fleet = Fleet {
            config: Arc::new(Config::parse(ALUMNI).unwrap_or_else(|e| panic!("{e:?}"))),
            state: State::default(),
            peers: Colleagues::new(me, vec![], WIRE),
            watch: Watch::default(),
        };
        fleet.put(Op::Config {
            base: 0,
            text: ALUMNI.into(),
        });
        for (i, server) in ["a", "b", "c"].iter().enumerate() {
            fleet.put(Op::Announce {
                server: server.to_string(),
                addr: Addr {
                    ip: [9; 16],
                    port: 1 + i as u16,
                },
                domain: "geneva-1".into(),
                labels: [("db".to_string(), DATABASE.to_string())].into(),
                life: 10 + i as u64,
                leads: false,
                leaving: false,
                terms: true,
                seq: 0,
            });
        }
        fleet.put(Op::Place {
            db: DATABASE.into(),
            fencers: vec![],
            gateways: vec![],
        });
        fleet.put(Op::Adopt {
            db: DATABASE.into(),
            server: "a".into(),
        });
        fleet
    }

    fn put(&mut self, op: Op) {
        let mark = self.state.mark + 1;
        let ask = Ask::unanswered(mark * 31, op);
        let verdict = self.state.apply(&Entry::unstamped(mark, ask));
        assert_eq!(verdict.reject, None);
    }

    fn epoch(&self) -> Mark {
        self.state.dbs[DATABASE].epoch
    }

    /// The primary is lost and `server` is to take over.
    fn fail_over(&mut self, server: &str) {
        self.put(Op::Offline {
            db: DATABASE.into(),
            epoch: self.epoch(),
            why: "lost".into(),
        });
        self.put(Op::Target {
            db: DATABASE.into(),
            epoch: self.epoch(),
            server: server.into(),
            asker: ME,
            any: true,
        });
    }

    fn asks(&mut self, now: Time) -> Vec<Promote> {
        self.tick(now).1
    }

    fn tick(&mut self, now: Time) -> (Vec<Op>, Vec<Promote>) {
        let sky = Sky {
            now,
            me: ME,
            st: &self.state,
            cfg: &self.config,
            c: &self.peers,
        };
        self.watch.tick(&sky)
    }

    /// A fencing node tells at `now` that it saw the server lead `age` ms ago.
    fn seen_to_lead(&mut self, now: Time, server: &str, age: Time) {
        let sight = Sight {
            server: server.into(),
            life: self.state.servers[server].life,
            age,
            reach: true,
            pos: 1,
            follows: String::new(),
            leads: true,
            link: true,
        };
        self.watch.sights(now, OTHER, vec![sight]);
    }

    fn ends(&mut self, now: Time) -> bool {
        let promoted = |op: &Op| matches!(op, Op::Promoted { server, .. } if server == "b");
        self.tick(now).0.iter().any(promoted)
    }

    fn answered(&mut self, now: Time, ask: &Promote, done: Result<bool, bool>) -> Option<Op> {
        let terms = self.state.numbers_terms(&ask.server);
        self.watch
            .promoted(now, DATABASE, ask.epoch, &ask.server, terms, done)
    }
}

#[test]
fn a_late_answer_to_an_earlier_failover_is_no_answer_to_this_one() {
    for late in [Ok(false), Ok(true), Err(true), Err(false)] {
        let mut fleet = Fleet::new();
        fleet.fail_over("b");
        let first = fleet.asks(1000).pop().expect("an ask");
        fleet.put(Op::Promoted {
            db: DATABASE.into(),
            epoch: fleet.epoch(),
            server: "b".into(),
        });
        fleet.fail_over("c");
        let second = fleet.asks(1100).pop().expect("an ask");
        assert!(first.epoch != second.epoch && second.server == "c");
        assert!(fleet.answered(1200, &first, late).is_none(), "{late:?}");
        let again = fleet.asks(1300);
        assert!(again.is_empty(), "{late:?}: asked while an ask is out");
        assert!(fleet.answered(1400, &second, Ok(true)).is_some());
        assert!(fleet.answered(1500, &second, Err(false)).is_none());
    }
}

#[test]
fn a_target_that_left_is_given_up_also_by_a_controller_that_did_not_choose_it() {
    let mut fleet = Fleet::new();
    fleet.fail_over("b");
    let op = Op::Depart {
        server: "b".into(),
        seq: 0,
    };
    fleet.put(op);
    let ask = fleet.asks(1000).pop().expect("an ask");
    let early = fleet.answered(1100, &ask, Err(false));
    assert!(early.is_none(), "an ask of another may take effect yet");
    let again = 1000 + UNKNOWN_OVER + PROMOTE_AGAIN;
    let ask = fleet.asks(again).pop().expect("another ask");
    let given_up = fleet.answered(again + 100, &ask, Err(false));
    assert!(matches!(given_up, Some(Op::Rejected { server, .. }) if server == "b"));
}

#[test]
fn a_closing_primary_that_has_left_does_not_stay_after_all() {
    let mut fleet = Fleet::new();
    fleet.put(Op::Close {
        db: DATABASE.into(),
        epoch: fleet.epoch(),
        why: "leaving".into(),
    });
    let op = Op::Depart {
        server: "a".into(),
        seq: 0,
    };
    fleet.put(op);
    for now in (1000..10_000).step_by(100) {
        let (ops, _) = fleet.tick(now);
        let reopened = ops.iter().any(|op| matches!(op, Op::Reopen { .. }));
        assert!(!reopened, "at {now}");
    }
}

/// Guards against a failover that hung while the platform took longer to answer than it was waited for.
#[test]
fn a_target_that_leads_ends_the_failover_although_the_answer_is_not_there() {
    let mut fleet = Fleet::new();
    fleet.fail_over("b");
    let ask = fleet.asks(1000).pop().expect("an ask");
    assert!(!fleet.ends(1100), "not seen to lead yet");
    fleet.seen_to_lead(1500, "b", 0);
    assert!(fleet.ends(1500), "while the answer is awaited");
    assert!(fleet.answered(1800, &ask, Err(true)).is_none());
    assert!(fleet.ends(1850), "when its answer was lost");
}

/// Guards against a failover that counts what was observed before it asked: the target may have led in an earlier term.
#[test]
fn a_lead_observed_before_the_ask_ends_nothing() {
    let mut fleet = Fleet::new();
    fleet.fail_over("b");
    fleet.asks(1000).pop().expect("an ask");
    fleet.seen_to_lead(1300, "b", 400);
    assert!(!fleet.ends(1300));
}
