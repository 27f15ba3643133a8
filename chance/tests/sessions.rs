//! What a session set and committed holds for it, whatever its route and other sessions do meanwhile.
#[allow(dead_code)]
#[path = "answers/fleet.rs"]
mod fleet;

#[allow(dead_code)]
#[path = "lives/node.rs"]
mod node;

use fleet::{Fleet, DATABASE};
use node::*;
use serde_json::{json, Value};
use tenet::base::*;
use tenet::front::*;
use tenet::kind::{Kind, Reject};
use tenet::session::{Answer, Req, Want};
use tenet::table::DbRow;
use tenet::wire::{Act, Done, Load, SetUp};

const ALUMNI: &str = include_str!("../../examples/alumni.json");
const ROUTE: &str = "records";
const OTHER_DATABASE: &str = "events";
/// The number of each call of the session: it has one at a time.
const CALL: u64 = 7;

/// Servers that keep no state beside options and prepared statements, and check positions before reads; a route
/// whose reads see the session's own commits, to this database.
fn configuration(database: &str) -> String {
    configuration_bounded(database, 800)
}

/// The same, with this time limit for a statement.
fn configuration_bounded(database: &str, statement_ms: Time) -> String {
    let mut text: Value = serde_json::from_str(ALUMNI).unwrap();
    for name in [DATABASE, OTHER_DATABASE] {
        text["databases"][name]["can"] = json!({"outcomes": false, "confirms": false, "guards": true,
            "keeps_state": false});
    }
    text["entries"] = json!({ROUTE: {"database": database, "reads": "record-view", "writes": "renewal",
        "statement_ms": statement_ms, "request_ms": statement_ms + 1200, "patience_ms": 800}});
    text.to_string()
}

fn fencing(row: &DbRow) -> bool {
    row.name == DATABASE && row.fences
}

fn pair(name: &str, value: &str) -> Vec<(String, String)> {
    vec![(name.to_string(), value.to_string())]
}

/// Runs a statement of a session with this setup at the fencing node; whether the connection was set up for it.
fn is_set_up(node: &mut Node, go: u64, setup: SetUp) -> bool {
    let load = Load {
        setup,
        session: go,
        ..node.load(go, Act::Single)
    };
    node.carry_load(node.front.me, go, load);
    let resets = matches!(node.queries()[..], [Query::Reset { .. }]);
    if resets {
        node.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    }
    node.runs();
    resets
}

/// Guards against case 5 of the review: an option and a prepared statement of the same name and text counted as
/// the same, so that a statement ran on the connection of a session that had never prepared it.
#[test]
fn an_option_of_one_session_is_no_prepared_statement_of_another() {
    let mut node = Node::of(Fleet::configured(configuration(DATABASE)), fencing);
    node.wait(WATCH_QUIET);
    let option = SetUp {
        settings: pair("s0", "FETCH q2c"),
        ..SetUp::default()
    };
    let statement = SetUp {
        prepared: pair("s0", "FETCH q2c"),
        ..SetUp::default()
    };
    let load = Load {
        setup: option.clone(),
        ..node.load(1, Act::Single)
    };
    node.carry_load(node.front.me, 1, load);
    node.connects(1);
    node.runs();
    assert!(!is_set_up(&mut node, 2, option.clone()), "the same values");
    assert!(is_set_up(&mut node, 3, statement));
    assert!(is_set_up(&mut node, 4, option));
}

/// The traffic side of a node with one session on the route.
struct Caller {
    node: Node,
    session: u64,
}

impl Caller {
    fn new() -> Caller {
        Caller::of(configuration(DATABASE))
    }

    fn of(configuration: String) -> Caller {
        let collects = |row: &DbRow| row.name == DATABASE && !row.fences;
        let mut node = Node::of(Fleet::configured(configuration), collects);
        let enter = Req::Enter {
            entry: ROUTE.into(),
            user: "u".into(),
        };
        let input = FrontIn::Call {
            call: CALL,
            req: enter,
        };
        let told = node.front.poll(node.now, input).response.pop();
        let Some((_, Ok(Answer::Opened { session, .. }))) = told else {
            panic!("no session was opened");
        };
        Caller { node, session }
    }

    fn asks(&mut self, req: Req) {
        self.node.poll(FrontIn::Call { call: CALL, req });
    }

    fn run(&mut self, kind: Want) {
        self.asks(Req::Run {
            session: self.session,
            kind,
            id: None,
            body: "null".into(),
            prepared: None,
            budget: None,
        });
    }

    /// Begins a transaction; nothing is sent before its first statement.
    fn begins(&mut self) {
        self.asks(Req::Begin {
            session: self.session,
            kind: None,
            id: None,
            lazy: true,
            budget: None,
        });
    }

    /// A transaction without statements: the session is bound to what its route says now.
    fn begins_and_rolls_back(&mut self) {
        self.begins();
        self.asks(Req::Rollback {
            session: self.session,
        });
    }

    /// Lets time pass, with a node that may serve.
    fn waits(&mut self, span: Time) {
        let until = self.node.now + span;
        while self.node.now < until {
            self.node.lease(PERMIT);
            self.node.wait(100);
        }
    }

    /// A write that is passed on; its attempt, and the gateway that has it.
    fn sends_a_write(&mut self) -> (u64, NodeId) {
        self.node.passed.clear();
        self.run(Want::Writes);
        self.node.passed.pop().expect("the write is passed on")
    }

    /// What the primary acknowledges a write with, at this position of its log.
    fn acknowledged(&self, gateway: NodeId, position: u64) -> Done {
        Done {
            body: "done".into(),
            epoch: self.node.front.t.as_ref().unwrap().dbs[self.database()].epoch,
            pos: position,
            age: 0,
            fence: gateway,
            repeat: false,
            hops: Vec::new(),
            server: "a".into(),
        }
    }

    /// What the caller is told when the gateway gives this.
    fn told(
        &mut self,
        (go, gateway): (u64, NodeId),
        done: Result<Done, Reject>,
    ) -> Option<Result<Answer, Reject>> {
        let answer = FrontIn::Carried {
            from: gateway,
            to: self.node.front.me,
            asked: gateway,
            go,
            clock: self.node.now,
            done,
        };
        let out = self.node.front.poll(self.node.now, answer);
        out.response.into_iter().map(|(_, told)| told).next()
    }

    /// A write that the primary acknowledges, at this position of its log.
    fn writes(&mut self, position: u64) {
        let attempt = self.sends_a_write();
        let done = self.acknowledged(attempt.1, position);
        self.told(attempt, Ok(done));
    }

    fn database(&self) -> usize {
        self.node.front.t.as_ref().unwrap().db_ix[DATABASE]
    }

    fn route_to(&mut self, database: &str) {
        self.node.fleet.configure(configuration(database));
        self.node.lease(PERMIT);
    }

    /// The position that a read's replica must hold; none when the read goes to the primary.
    fn reads_after(&mut self) -> Option<u64> {
        self.node.calls.clear();
        self.node.passed.clear();
        self.run(Want::Reads);
        if !self.node.passed.is_empty() {
            return None;
        }
        self.node.connects(1);
        match self.node.queries()[..] {
            [Query::Run { after, .. }] => Some(*after),
            ref other => panic!("{other:?}"),
        }
    }
}

/// Guards against case 4 of the review: a session forgot its own commit when its route moved away and back.
#[test]
fn a_session_sees_its_own_commit_when_its_route_moved_away_and_back() {
    let mut caller = Caller::new();
    caller.writes(10);
    caller.node.wait(GUARD_SETTLED);
    caller.writes(20);
    caller.route_to(OTHER_DATABASE);
    caller.begins_and_rolls_back();
    caller.route_to(DATABASE);
    assert_eq!(caller.reads_after(), Some(20));
}

/// Guards against an error of a server that reaches its client with our word before the server's code.
#[test]
fn a_servers_error_reaches_the_caller_word_for_word() {
    for error in ["NOTFOUND i-1", "FAILED", "MALFORMED no such text"] {
        let mut caller = Caller::new();
        let attempt = caller.sends_a_write();
        let told = caller.told(attempt, Err(Reject::new(Kind::Failed, error)));
        assert_eq!(
            told.and_then(Result::err),
            Some(Reject::new(Kind::Failed, error))
        );
    }
}

/// Guards against case 10 of the second review: a transaction that only began did not count as open, so that its node
/// ended under it 2.7 s after SIGTERM, and refused its first statement from 2.5 s on.
#[test]
fn a_stopping_node_waits_for_a_transaction_that_only_began() {
    let mut caller = Caller::new();
    let session = caller.session;
    caller.begins();
    caller.node.poll(FrontIn::Stopping);
    caller.waits(SEE_OFF + 350);
    assert!(!caller.node.front.drained(), "nothing open is counted");
    let (attempt, gateway) = caller.sends_a_write();
    let done = caller.acknowledged(gateway, 10);
    let told = caller.told((attempt, gateway), Ok(done));
    assert!(matches!(told, Some(Ok(Answer::Ran(_)))), "its statement");
    assert!(!caller.node.front.drained(), "the transaction goes on");
    caller.asks(Req::Rollback { session });
    assert!(caller.node.front.drained(), "it has ended");
}

/// A transaction that only began and was then rolled back or left keeps no node from ending.
#[test]
fn a_stopping_node_does_not_wait_for_what_has_ended() {
    let ends: [fn(u64) -> Req; 2] = [
        |session| Req::Rollback { session },
        |session| Req::Close { session },
    ];
    for end in ends {
        let mut caller = Caller::new();
        caller.begins();
        caller.node.poll(FrontIn::Stopping);
        assert!(!caller.node.front.drained());
        caller.asks(end(caller.session));
        assert!(caller.node.front.drained());
    }
}

/// Guards against a route's time limit that is not looked at while an answer is awaited: the write was given up, with
/// an unknown outcome, after 2.5 s.
#[test]
fn an_answer_is_awaited_for_as_long_as_the_route_allows() {
    let limit = 8_000;
    let mut caller = Caller::of(configuration_bounded(DATABASE, limit));
    let attempt = caller.sends_a_write();
    let until = caller.node.now + limit - 200;
    while caller.node.now < until {
        caller.node.lease(PERMIT);
        caller.node.poll(FrontIn::Echo {
            from: attempt.1,
            addr: Addr::NONE,
            reply: true,
        });
        caller.node.wait(100);
    }
    let done = caller.acknowledged(attempt.1, 10);
    let told = caller.told(attempt, Ok(done));
    assert!(
        matches!(told, Some(Ok(Answer::Ran(_)))),
        "not awaited any more"
    );
}
