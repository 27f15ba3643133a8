//! Entries along the chain: each replica hands on what it has synced to its successor.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::disk::Rec;
use crate::state::Entry;
use crate::wire::Msg;

impl Chain {
    /// Applies the next entry, and keeps it for the disk and for those that are behind.
    pub(crate) fn append(&mut self, entry: Entry, out: &mut Out) {
        self.keep(Rec::Entry(entry.clone()), out);
        self.log.append(entry, self.synced);
    }

    /// Synced entries after an index, as many as one message takes; none when the log does not reach
    /// back so far.
    pub(crate) fn after(&self, index: Mark) -> Option<Vec<Entry>> {
        let reaches = self.log.reaches(index, self.d.state.mark);
        reaches.then(|| self.log.batch(index, self.synced))
    }

    /// Takes what the predecessor sent, and says what is synced here.
    pub(crate) fn take_entries(
        &mut self,
        now: Time,
        from: Addr,
        prev: Mark,
        entries: Vec<Entry>,
        out: &mut Out,
    ) {
        if !self.whole() {
            return;
        }
        let gap = prev > self.d.state.mark;
        if !gap && !self.append_all(entries, out) {
            self.restart_from_snapshot(now, out);
            return;
        }
        let (view, mark) = match gap {
            true => (self.d.view.n, self.d.state.mark),
            false => (self.d.view.n, self.synced),
        };
        out.send.push((from, Msg::Have { view, mark }));
    }

    /// False when an entry does not follow on the state here.
    fn append_all(&mut self, entries: Vec<Entry>, out: &mut Out) -> bool {
        for entry in entries {
            if entry.mark != self.d.state.mark + 1 {
                continue;
            }
            if !self.d.state.fits(&entry) {
                return false;
            }
            self.append(entry, out);
        }
        true
    }

    /// Learns what the successor has synced.
    pub(crate) fn successor_has(&mut self, now: Time, mark: Mark, out: &mut Out) {
        if mark == self.succ_have {
            return;
        }
        self.succ_have = mark;
        self.succ_at = now;
        self.resend_at = now + CHAIN_RESEND;
        if mark < self.synced {
            self.forward(now, out);
        }
    }

    /// Sends the successor what it lacks: entries, or the offer of a snapshot. What is on its way is sent
    /// again only when the successor made no progress for a while.
    pub(crate) fn forward(&mut self, now: Time, out: &mut Out) {
        let Some(successor) = self.succ().filter(|_| self.whole()) else {
            return;
        };
        let again = now >= self.resend_at;
        if again || self.succ_sent < self.succ_have {
            self.succ_sent = self.succ_have;
        }
        let prev = self.succ_sent;
        if prev == self.succ_have {
            self.resend_at = now + CHAIN_RESEND;
        }
        match self.after(prev) {
            Some(entries) if entries.is_empty() && !again => (),
            Some(entries) => {
                let view = self.d.view.n;
                self.succ_sent = entries.last().map_or(prev, |e| e.mark);
                let append = Msg::Append {
                    view,
                    prev,
                    entries,
                };
                out.send.push((successor.addr, append));
            }
            None => self.offer_snapshot(now, successor.addr, out),
        }
    }
}
