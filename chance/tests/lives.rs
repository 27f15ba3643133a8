//! What a fencing node does when its lease or its server's life ends while a statement is under way.
#[allow(dead_code)]
#[path = "answers/fleet.rs"]
mod fleet;

use fleet::*;
use tenet::base::*;
use tenet::front::*;
use tenet::kind::{Kind, Reject};
use tenet::plan::blank;
use tenet::table::DbRow;
use tenet::wire::{Act, Done, Load, Msg};

const ASKER: NodeId = 50;
const TRANSACTION: u64 = 9;

/// A fencing node, the calls to servers that it has open, and what it answered.
struct Node {
    fleet: Fleet,
    slot: usize,
    front: Front,
    now: Time,
    calls: Vec<BackCall>,
    closed: Vec<u64>,
    answers: Vec<(u64, Result<Done, Reject>)>,
    /// Attempts that it passed on, and to whom.
    passed: Vec<(u64, NodeId)>,
}

impl Node {
    fn start() -> Node {
        Node::at(|d| d.fences)
    }

    fn at(role: fn(&DbRow) -> bool) -> Node {
        let fleet = Fleet::new();
        let fits = |s: &usize| fleet.table(*s, 1, None).dbs.iter().any(role);
        let slot = (0..SLOTS).find(fits).expect("a node of that role");
        let front = Front::new(fleet.living[slot], address(slot), 1);
        let mut node = Node {
            fleet,
            slot,
            front,
            now: 1,
            calls: Vec::new(),
            closed: Vec::new(),
            answers: Vec::new(),
            passed: Vec::new(),
        };
        node.lease(PERMIT);
        node.wait(100);
        node
    }

    fn lease(&mut self, span: Time) {
        let old = self.front.t.clone();
        let table = self.fleet.table(self.slot, self.now, old.as_deref());
        self.poll(FrontIn::Table(table, self.now + span));
    }

    /// Lets time pass, with the server's position told as soon as it is asked for.
    fn wait(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.poll(FrontIn::Wakeup);
        }
    }

    fn poll(&mut self, input: FrontIn) {
        let out = self.front.poll(self.now, input);
        for (_, msg) in out.send {
            match msg {
                Msg::Carried { to, go, done, .. } => {
                    assert_eq!(to, ASKER);
                    self.answers.push((go, done));
                }
                Msg::Carry { go, to, load, .. } if load.act != Act::Pos => {
                    self.passed.push((go, to))
                }
                _ => (),
            }
        }
        for call in out.back {
            match &call.query {
                Query::Position { server, .. } => self.tell_position(call.token, server.clone()),
                Query::Close { conn } => self.closed.push(*conn),
                _ => self.calls.push(call),
            }
        }
    }

    fn tell_position(&mut self, token: u64, server: String) {
        let leads = server == SERVERS[0];
        let position = Position {
            life: 1,
            pos: 1,
            leads,
            link: true,
            ..Position::default()
        };
        let res = BackRes::Ok(Got::Position(position));
        self.poll(FrontIn::Back { token, res });
    }

    fn carry(&mut self, go: u64, act: Act) {
        let me = self.fleet.living[self.slot];
        let load = Load {
            db: DATABASE.into(),
            writes: act == Act::Single,
            act,
            txn: TRANSACTION,
            budget: 3000,
            regions: vec!["geneva".into(), "zurich".into()],
            hops: vec![ASKER, 51],
            fence: self.fence(),
            session: 5,
            body: go.to_string(),
            ..blank(format!("id-{go}"))
        };
        let by = self.now + 3000;
        self.poll(FrontIn::Carry {
            from: ASKER,
            addr: address(77),
            go,
            to: me,
            by,
            load,
        });
    }

    /// Names this node as the one that fences, if it does.
    fn fence(&self) -> NodeId {
        let table = self.front.t.as_ref().expect("a table");
        let fences = table.dbs.iter().any(|d| d.fences);
        if fences {
            self.front.me
        } else {
            0
        }
    }

    /// The one call that is open must be of this kind; it is answered.
    fn answer(&mut self, is: fn(&Query) -> bool, got: Got) {
        assert_eq!(self.calls.len(), 1, "{:?}", self.queries());
        let call = self.calls.remove(0);
        assert!(is(&call.query), "{:?}", call.query);
        let res = BackRes::Ok(got);
        self.poll(FrontIn::Back {
            token: call.token,
            res,
        });
    }

    fn queries(&self) -> Vec<&Query> {
        self.calls.iter().map(|c| &c.query).collect()
    }

    fn connects(&mut self, conn: u64) {
        self.answer(
            |q| matches!(q, Query::Connect { .. }),
            Got::Connected { conn },
        );
        self.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    }

    fn runs(&mut self) {
        self.answer(|q| matches!(q, Query::Run { .. }), ran());
    }

    fn begins(&mut self) {
        self.carry(1, Act::Begin);
        self.connects(1);
        self.answer(|q| matches!(q, Query::Begin { .. }), ran());
        assert!(self
            .answers
            .pop()
            .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    }
}

fn ran() -> Got {
    Got::Ran {
        pos: 2,
        result: "r".into(),
        repeat: false,
    }
}

#[test]
fn a_step_whose_lease_ended_before_its_answer_is_never_run_again() {
    let mut node = Node::start();
    node.begins();
    node.carry(2, Act::Step);
    let left = node.front.until - node.now - 1;
    node.wait(left);
    node.now += 2;
    node.runs();
    let told = node.answers.pop().expect("an answer");
    assert_eq!(
        (told.0, told.1.err().map(|e| e.kind)),
        (2, Some(Kind::Aborted))
    );
    node.lease(PERMIT);
    node.carry(3, Act::Step);
    assert!(node.calls.is_empty(), "{:?}", node.queries());
    let told = node.answers.pop().expect("an answer");
    assert_eq!(
        (told.0, told.1.err().map(|e| e.kind)),
        (3, Some(Kind::Aborted))
    );
    assert_eq!(node.closed, [1], "the server rolls it back");
}

#[test]
fn a_connection_to_an_earlier_life_of_a_server_is_not_used_in_the_next() {
    let mut node = Node::start();
    node.carry(1, Act::Single);
    node.connects(1);
    node.fleet.announce(0, 2);
    node.lease(PERMIT);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    assert_eq!(node.closed, [1]);
    node.carry(2, Act::Single);
    node.connects(1);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 2 && r.is_ok()));
}

#[test]
fn a_statement_that_has_a_connection_to_an_earlier_life_is_sent_on_another() {
    let mut node = Node::start();
    node.carry(1, Act::Single);
    node.answer(
        |q| matches!(q, Query::Connect { .. }),
        Got::Connected { conn: 1 },
    );
    node.fleet.announce(0, 2);
    node.lease(PERMIT);
    node.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    node.connects(2);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    assert_eq!(node.closed, [1]);
}

#[test]
fn an_answer_from_another_node_or_to_another_life_is_not_passed_on() {
    let mut node = Node::at(|d| d.gates && !d.fences);
    let me = node.fleet.living[node.slot];
    node.carry(1, Act::Single);
    let (go, fencing) = node.passed.pop().expect("passed on to a fencing node");
    let carried = |from, to| FrontIn::Carried {
        from,
        to,
        go,
        clock: 1,
        done: Err(Reject::new(Kind::Busy, "x")),
    };
    node.poll(carried(fencing + 1, me));
    node.poll(carried(fencing, me + 1));
    assert!(node.answers.is_empty());
    node.poll(carried(fencing, me));
    node.poll(carried(fencing, me));
    let told: Vec<u64> = node.answers.iter().map(|(go, _)| *go).collect();
    assert_eq!(told, [1], "once");
}
