//! A member that is its whole chain, and a state without one, to give orders to.
#![allow(dead_code)]
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::disk::*;
use tenet::kind::Kind;
use tenet::state::*;
use tenet::wire::{Msg, Summary, WIRE};

pub fn apply(state: &mut State, clock: u64, at: u64, op: Op) -> Verdict {
    let mark = state.mark + 1;
    let ask = Ask {
        id: mark * 31,
        question: 0,
        from: Addr::NONE,
        at,
        op,
    };
    state.apply(&Entry { mark, clock, ask })
}

pub fn publish(version: u64, text: &str) -> Op {
    Op::Publish {
        version,
        document: digest(text.as_bytes()),
        text: text.into(),
    }
}

pub fn kind_of(verdict: &Verdict) -> Option<Kind> {
    verdict.reject.as_ref().map(|r| r.kind)
}

pub fn alumni() -> String {
    include_str!("../../../examples/alumni.json").into()
}

/// One member that is its whole chain, with its answers.
pub struct Alone {
    pub chain: Chain,
    colleagues: Colleagues,
    pub ids: u64,
}

impl Alone {
    pub fn new(state: State) -> Alone {
        let me = Seat {
            id: 1,
            addr: Addr {
                ip: [7; 16],
                port: 1,
            },
        };
        let view = View::in_sync(3, 1, vec![me], vec![me]);
        let durable = Durable {
            id: 1,
            view,
            whole: 3,
            state,
            ..Durable::default()
        };
        let head_ids = durable.state.mark;
        let summary = Summary {
            id: 1,
            addr: me.addr,
            http: me.addr,
            domain: "geneva-1".into(),
            disk: true,
            life: 1,
            status: 0,
            view: 3,
            mark: 0,
            allows: false,
            stopping: false,
        };
        Alone {
            chain: Chain::new(me, durable, 1).with(false, vec![], 1),
            colleagues: Colleagues::new(summary, vec![], WIRE),
            ids: 1000 * (1 + head_ids),
        }
    }

    /// What the order is answered, at the local time `now`.
    pub fn order(&mut self, now: Time, op: Op) -> Verdict {
        self.ids += 1;
        let id = self.ids;
        let ask = Ask {
            id,
            question: id,
            from: Addr::NONE,
            at: 0,
            op,
        };
        let mut out = Out::default();
        self.chain.tick(now, &self.colleagues, &mut out);
        let mut out = Out::default();
        self.chain.propose(now, ask, &mut out);
        if let Some(seq) = self.chain.seq(&mut out) {
            self.chain.synced(now, seq, &mut out);
        }
        let answer = out.send.into_iter().find_map(|(_, m)| match m {
            Msg::Outcome { question, verdict } if question == id => Some(verdict),
            _ => None,
        });
        answer.expect("an answer")
    }

    pub fn evacuated(&self) -> bool {
        self.chain.d.state.evacuated.contains_key("geneva-1")
    }
}
