//! What a voter does when it is asked to promise and to accept.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::plant::{planted, Bug};
use crate::wire::Msg;

impl Chain {
    /// Promises, unless the proposer is out of direct contact: who reaches no majority opens nothing.
    pub(crate) fn prepare(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        ballot: u64,
        out: &mut Out,
    ) {
        if !self.contacts.reaches(from, now) {
            return;
        }
        let inst = self.d.view.n + 1;
        self.agree.heard = self.agree.heard.max(ballot);
        self.agree.touched = now;
        if ballot < self.d.promised {
            let ballot = self.d.promised;
            out.send.push((addr, Msg::Nack { inst, ballot }));
            return;
        }
        let (accepted, value) = (self.d.accepted, self.d.value.clone());
        if ballot > self.d.promised {
            let vote = Rec::Vote {
                promised: ballot,
                accepted,
                value: value.clone(),
            };
            self.keep(vote, out);
        }
        let promise = Msg::Promise {
            inst,
            ballot,
            whole: self.d.whole,
            accepted,
            value,
        };
        out.late.push((addr, promise));
    }

    /// Accepts, once the lease that this voter granted to the tail has ended. From the asking on it
    /// grants none, and a tail gives its own back.
    pub(crate) fn accept(
        &mut self,
        now: Time,
        addr: Addr,
        ballot: u64,
        value: View,
        c: &Colleagues,
        out: &mut Out,
    ) {
        let inst = self.d.view.n + 1;
        if ballot < self.d.promised {
            let ballot = self.d.promised;
            out.send.push((addr, Msg::Nack { inst, ballot }));
            return;
        }
        self.agree.touched = now;
        self.agree.accepting_until = now + ACCEPT_WAIT;
        self.give_tail(c, out);
        if now < self.tail.granted && !planted(Bug::AcceptsDuringLease) {
            return;
        }
        if ballot != self.d.accepted {
            let vote = Rec::Vote {
                promised: ballot,
                accepted: ballot,
                value: Some(value),
            };
            self.keep(vote, out);
        }
        out.late.push((addr, Msg::Accepted { inst, ballot }));
    }
}
