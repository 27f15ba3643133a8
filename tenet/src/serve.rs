//! The head taking changes, and the tail answering: outcomes to callers, entries to followers.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::state::*;
use crate::wire::{Changes, Msg};

impl Chain {
    /// The next in the chain has made no progress for a second.
    pub fn stuck(&self, now: Time) -> bool {
        self.succ().is_some()
            && self.whole()
            && self.succ_have < self.synced
            && now > self.succ_at + 1000
    }

    /// Learns that all of the chain hold the log up to an index.
    pub(crate) fn learn_confirmed(&mut self, index: Mark) {
        self.confirmed = self.confirmed.max(index);
    }

    /// Whether a change may be taken and acknowledged: as many disks as it needs hold it then.
    fn confirms(&self) -> bool {
        self.d.view.confirms() && self.d.view.chain.len() >= self.copies
    }

    /// Up to which index all of the chain are known here to hold the log. In a view that confirms nothing this does not
    /// grow: what only its members hold may go with them.
    pub(crate) fn confirmed(&self) -> Mark {
        if !self.d.view.confirms() {
            return self.confirmed;
        }
        let behind = self.place().map_or(0, |at| self.d.view.chain.len() - at);
        match behind {
            0 | 1 => self.synced,
            2 => self.confirmed.max(self.succ_have),
            _ => self.confirmed,
        }
    }

    /// Takes a proposal from its asker, or one that another process passed on. It is passed on at most
    /// once: two machines that take each other for the head would send it to and fro. Who sent it to the
    /// wrong machine is told the view.
    pub(crate) fn take_proposal(&mut self, now: Time, sender: Addr, ask: Ask, out: &mut Out) {
        if !self.is_head() && self.d.view.n > 0 && sender != self.me.addr {
            let view = self.d.view.clone();
            out.send.push((sender, Msg::ViewIs { view }));
        }
        if self.is_head() || sender == ask.from {
            self.propose(now, ask, out);
        }
    }

    /// Appends a change at the head; any other replica passes it on. With fewer members than must hold it
    /// it is rejected with `NoCopies`. One that is in the log and not yet confirmed is not appended again.
    pub fn propose(&mut self, now: Time, ask: Ask, out: &mut Out) {
        if !self.is_head() {
            self.pass_on(ask, out);
            return;
        }
        if !self.confirms() {
            let kind = match planted(Bug::ShortChainRefuses) {
                true => Kind::BadState,
                false => Kind::NoCopies,
            };
            let reject = Reject::new(kind, "too few control disks hold the state");
            Self::refuse(ask.question, ask.from, reject, out);
            return;
        }
        if planted(Bug::NewViewDropsOrders) && now < self.adopted_at + 9_000 {
            return;
        }
        let confirmed = self.confirmed();
        let waits = ask.op.can_wait() && self.log.upkeep(confirmed) >= UPKEEP_MOST;
        if waits || self.log.awaits(ask.id, confirmed) {
            return;
        }
        self.admit(now, ask, out);
    }

    fn pass_on(&self, ask: Ask, out: &mut Out) {
        let head = self.d.view.chain.first().map(|s| s.addr);
        let to = head.filter(|a| *a != self.me.addr);
        out.send.extend(to.map(|a| (a, Msg::Propose { ask })));
    }

    fn refuse(question: u64, from: Addr, reject: Reject, out: &mut Out) {
        let verdict = Verdict {
            mark: 0,
            reject: Some(reject),
        };
        out.send.push((from, Msg::Outcome { question, verdict }));
    }

    fn admit(&mut self, now: Time, ask: Ask, out: &mut Out) {
        let (question, from) = (ask.question, ask.from);
        let ask = match self.d.state.admit(ask) {
            Ok(ask) => ask,
            Err(reject) => {
                Self::refuse(question, from, reject, out);
                return;
            }
        };
        let op = ask.op.amending(&self.d.state.cfg);
        let entry = Entry {
            mark: self.d.state.mark + 1,
            clock: self.clock.read(now),
            ask: Ask { op, ..ask },
        };
        self.append(entry, out);
        self.clock.observe(now, self.d.state.clock);
    }

    /// Whether this process is the tail and holds the lease under which readers are answered. In a view that confirms
    /// nothing it answers only if all that it holds was confirmed before: the rest may yet be lost.
    pub fn serves_readers(&self, now: Time) -> bool {
        // A snapshot that is installed and not synced yet leaves nothing to answer from.
        let nothing_synced = self.synced == 0 && self.d.state.mark > 0;
        let unconfirmed = !self.d.view.confirms() && self.synced > self.confirmed;
        self.is_tail() && self.tail.holds(now) && !nothing_synced && !unconfirmed
    }

    pub(crate) fn advance(&mut self, now: Time, from: Mark, out: &mut Out) {
        if self.is_tail() && self.confirms() {
            let v: Vec<Ask> = self
                .log
                .range(from, self.synced)
                .map(|e| e.ask.clone())
                .collect();
            for a in &v {
                let question = a.question;
                let got = self.d.state.verdict(a);
                out.send
                    .extend(got.map(|verdict| (a.from, Msg::Outcome { question, verdict })));
            }
            if !v.is_empty() {
                self.followers.has_news();
                self.nudge_followers(now, out);
            }
        }
        self.pred().into_iter().for_each(|p| {
            let (view, mark) = (self.d.view.n, self.synced);
            out.send.push((p.addr, Msg::Have { view, mark }));
        });
        self.forward(now, out);
    }

    /// Tells the followers that there is news, unless they were told a moment ago.
    pub(crate) fn nudge_followers(&mut self, now: Time, out: &mut Out) {
        let mark = self.synced;
        let told = self.followers.nudged(now);
        out.send
            .extend(told.into_iter().map(|to| (to, Msg::Nudge { mark })));
    }

    pub(crate) fn refresh(
        &mut self,
        now: Time,
        addr: Addr,
        seq: u64,
        have: Mark,
        cluster: u64,
        out: &mut Out,
    ) {
        let view = self.d.view.clone();
        if !self.serves_readers(now) {
            if view.n > 0 {
                out.send.push((addr, Msg::ViewIs { view }));
            }
            return;
        }
        self.followers.asked(addr, now);
        let known = cluster == view.cluster && have <= self.synced;
        let part = match self.after(have).filter(|_| known) {
            Some(entries) => Changes::Entries(entries),
            None => Changes::Snapshot(self.offered_snapshot(now, have)),
        };
        let have = match &part {
            Changes::Entries(entries) => entries.last().map_or(have, |e| e.mark),
            Changes::Snapshot(id) if id.index > self.synced => return,
            Changes::Snapshot(id) => id.index,
        };
        if part.large() && !self.followers.sends_large(addr, have, now) {
            return;
        }
        let newest = matches!(part, Changes::Entries(_)) && have == self.synced;
        let seq = if newest { seq } else { 0 };
        out.send.push((
            addr,
            Msg::Fresh {
                seq,
                have,
                part,
                view,
            },
        ));
    }
}
