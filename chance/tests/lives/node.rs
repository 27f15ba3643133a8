//! One node of a fleet, driven step by step.
use crate::fleet::*;
use tenet::base::*;
use tenet::front::*;
use tenet::kind::Reject;
use tenet::plan::blank;
use tenet::table::DbRow;
use tenet::wire::{Act, Done, Load, Msg};

pub const ASKER: NodeId = 50;
pub const TRANSACTION: u64 = 9;

/// A fencing node, the calls to servers that it has open, and what it answered.
pub struct Node {
    pub fleet: Fleet,
    pub slot: usize,
    pub front: Front,
    pub now: Time,
    pub calls: Vec<BackCall>,
    pub closed: Vec<u64>,
    pub answers: Vec<(u64, Result<Done, Reject>)>,
    /// Attempts that it passed on, and to whom.
    pub passed: Vec<(u64, NodeId)>,
}

impl Node {
    pub fn start() -> Node {
        Node::at(|d| d.fences)
    }

    pub fn at(role: fn(&DbRow) -> bool) -> Node {
        Node::of(Fleet::new(), role)
    }

    pub fn of(fleet: Fleet, role: fn(&DbRow) -> bool) -> Node {
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

    pub fn lease(&mut self, span: Time) {
        let old = self.front.t.clone();
        let table = self.fleet.table(self.slot, self.now, old.as_deref());
        self.poll(FrontIn::Table(table, self.now + span));
    }

    /// Lets time pass, with the server's position told as soon as it is asked for.
    pub fn wait(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.poll(FrontIn::Wakeup);
        }
    }

    pub fn poll(&mut self, input: FrontIn) {
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

    pub fn tell_position(&mut self, token: u64, server: String) {
        let leads = server == SERVERS[0];
        let position = Position {
            life: 1,
            pos: 1,
            leads,
            link: true,
            follows: if leads { "" } else { SERVERS[0] }.into(),
            ..Position::default()
        };
        let res = BackRes::Ok(Got::Position(position));
        self.poll(FrontIn::Back { token, res });
    }

    pub fn carry(&mut self, go: u64, act: Act) {
        self.carry_to(self.front.me, go, act);
    }

    /// An attempt that is meant for the process `to`.
    pub fn carry_to(&mut self, to: NodeId, go: u64, act: Act) {
        let load = self.load(go, act);
        self.carry_load(to, go, load);
    }

    /// What the attempt `go` carries.
    pub fn load(&self, go: u64, act: Act) -> Load {
        Load {
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
        }
    }

    pub fn carry_load(&mut self, to: NodeId, go: u64, load: Load) {
        let by = self.now + 3000;
        self.poll(FrontIn::Carry {
            asker: Asker {
                node: ASKER,
                addr: address(77),
                go,
                asked: to,
            },
            by,
            load,
        });
    }

    /// Names this node as the one that fences, if it does.
    pub fn fence(&self) -> NodeId {
        let table = self.front.t.as_ref().expect("a table");
        let fences = table.dbs.iter().any(|d| d.fences);
        if fences {
            self.front.me
        } else {
            0
        }
    }

    /// The one call that is open must be of this kind; it is answered.
    pub fn answer(&mut self, is: fn(&Query) -> bool, got: Got) {
        assert_eq!(self.calls.len(), 1, "{:?}", self.queries());
        let call = self.calls.remove(0);
        assert!(is(&call.query), "{:?}", call.query);
        let res = BackRes::Ok(got);
        self.poll(FrontIn::Back {
            token: call.token,
            res,
        });
    }

    pub fn queries(&self) -> Vec<&Query> {
        self.calls.iter().map(|c| &c.query).collect()
    }

    pub fn connects(&mut self, conn: u64) {
        self.answer(
            |q| matches!(q, Query::Connect { .. }),
            Got::Connected { conn },
        );
        self.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    }

    pub fn runs(&mut self) {
        self.answer(|q| matches!(q, Query::Run { .. }), ran());
    }

    pub fn begins(&mut self) {
        self.carry(1, Act::Begin);
        self.connects(1);
        self.answer(|q| matches!(q, Query::Begin { .. }), ran());
        assert!(self
            .answers
            .pop()
            .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    }
}

pub fn ran() -> Got {
    Got::Ran {
        pos: 2,
        result: "r".into(),
        repeat: false,
    }
}
