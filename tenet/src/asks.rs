//! Orders on their way to the head of the chain: numbered, sent again until the outcome is known, and given
//! up after a bounded time with `unknown`. On the head it also runs the failover controller and proposes
//! the changes that this one wants.

use crate::base::*;
use crate::chain::Out;
use crate::control::*;
use crate::kind::{Kind, Reject};
use crate::pilot::{Promote, Sky};
use crate::state::*;
use crate::wire::Msg;

impl Pending {
    /// How long after its birth the order is proposed.
    fn give_up(&self) -> Time {
        match self.ask.op {
            Op::Hold { .. } => UNNUMBERED_GIVE_UP,
            _ => ASK_GIVE_UP,
        }
    }

    /// Whether it is to be proposed to the head now: after a while without an outcome, and at once, if it
    /// cannot wait, where another process leads the chain than the one that has it.
    fn due(&self, now: Time, head: Addr) -> bool {
        let led_anew = self.to != Some(head) && !self.ask.op.can_wait();
        led_anew || now >= self.sent + self.pause()
    }

    /// How long after it was sent it is sent again. A document that is sent too soon again fills the link
    /// on which it waits, so its pause grows.
    fn pause(&self) -> Time {
        match self.ask.op {
            Op::Config { .. } | Op::Publish { .. } => DOCUMENT_AGAIN.max(self.sent - self.born),
            _ => PROPOSE_AGAIN,
        }
    }
}

impl Control {
    pub(crate) fn hand_to_chain(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: Msg,
        out: &mut Out,
    ) {
        if let Some(c) = self.chain.as_mut() {
            c.take(now, from, addr, m, &self.c, out);
        }
    }

    /// Takes an order from a door. An evacuation is answered at once while this node knows of no
    /// chain, for there is no configuration then that could name its domain.
    pub(crate) fn take_order(
        &mut self,
        now: Time,
        order: (u64, Option<u64>, Op),
        out: &mut Out,
        e: &mut Effect,
    ) {
        let (call, id, op) = order;
        let evacuation = matches!(op, Op::Hold { .. } | Op::Evacuate { .. });
        if evacuation && self.head().is_none() {
            let why = "the control chain is not known yet; come back when it is";
            let reject = Reject::new(Kind::Starting, why);
            e.response.push((call, Reply::Reject(reject)));
            return;
        }
        self.ask(now, call, id, op, out);
    }

    pub(crate) fn ask(&mut self, now: Time, call: u64, id: Option<u64>, op: Op, out: &mut Out) {
        let id = id.unwrap_or_else(|| self.ids.take());
        let question = self.ids.take();
        let ask = Ask {
            id,
            question,
            from: self.me.addr,
            at: self.wall(now),
            op,
        };
        self.pending.insert(
            question,
            Pending {
                call,
                ask: ask.clone(),
                born: now,
                sent: now,
                to: self.head(),
            },
        );
        out.send
            .extend(self.head().map(|a| (a, Msg::Propose { ask })));
    }

    pub(crate) fn once(&mut self, now: Time, op: Op, out: &mut Out) {
        if !self.pending.values().any(|p| p.ask.op == op) {
            self.ask(now, 0, None, op, out);
        }
    }

    /// Takes what a server tells of itself. A word of leaving is acknowledged from the copy here only
    /// under the lease: a copy without one may lack a later word that took an earlier one back.
    pub(crate) fn announce(&mut self, now: Time, call: u64, op: Op, out: &mut Out, e: &mut Effect) {
        let known = Server::told(&op).is_some_and(|s| self.knows(&s) && self.vouches(now, &s));
        if !known {
            self.ask(now, call, None, op, out);
            return;
        }
        let verdict = Verdict {
            mark: self.f.state.mark,
            reject: None,
        };
        e.response.push((call, Reply::Verdict(verdict)));
    }

    /// Whether the copy here holds what the server tells, or something later.
    fn knows(&self, told: &Server) -> bool {
        let held = self.f.state.servers.get(&told.name);
        self.f.state.late(told) || held.is_some_and(|held| told.says(held))
    }

    fn vouches(&self, now: Time, told: &Server) -> bool {
        !told.leaving || self.f.holds(now)
    }

    /// Proposes again what has no outcome yet, and answers orders whose time is over.
    pub(crate) fn resend(&mut self, now: Time, out: &mut Out, e: &mut Effect) {
        self.give_up_late(now, e);
        let Some(head) = self.head() else {
            return;
        };
        let mut due: Vec<&mut Pending> = self
            .pending
            .values_mut()
            .filter(|p| p.due(now, head))
            .collect();
        due.sort_by_key(|p| p.ask.op.can_wait());
        for p in due {
            (p.sent, p.to) = (now, Some(head));
            let ask = p.ask.clone();
            out.send.push((head, Msg::Propose { ask }));
        }
    }

    fn give_up_late(&mut self, now: Time, e: &mut Effect) {
        let late = |p: &Pending| now > p.born + p.give_up();
        let mut given_up = Vec::new();
        self.pending.retain(|_, p| {
            let late = late(p);
            if late && p.call != 0 {
                given_up.push((p.call, p.ask.id));
            }
            !late
        });
        for (call, id) in given_up {
            let why = format!("the control chain did not answer in time; ask again with id {id}");
            let reject = Reject::new(Kind::Unknown, why);
            e.response.push((call, Reply::Reject(reject)));
        }
    }

    pub(crate) fn pilot(&mut self, now: Time, out: &mut Out) -> Vec<Promote> {
        let head = self.chain.as_ref().is_some_and(|c| c.is_head());
        let cfg = self.cfg.as_ref().map(|c| c.1.clone());
        let Some(cfg) = cfg.filter(|_| head && self.f.holds(now)) else {
            if !head {
                self.watch.stopped();
            }
            return Vec::new();
        };
        let sky = Sky {
            now,
            me: self.me.id,
            st: &self.f.state,
            cfg: &cfg,
            c: &self.c,
        };
        let (ops, calls) = self.watch.tick(&sky);
        ops.into_iter().for_each(|op| self.once(now, op, out));
        calls
    }
}
