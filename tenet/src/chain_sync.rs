//! What the chain writes, and what may be sent once that is on disk.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::disk::Rec;
use crate::state::Verdict;

impl Chain {
    /// Applies a record here and queues it for the disk. An entry gives its outcome.
    pub fn keep(&mut self, r: Rec, out: &mut Out) -> Option<Verdict> {
        let v = self.d.play(&r);
        out.write.push(r);
        v
    }

    /// Numbers the records queued in this step, if there are any. Messages in `out.late` go out only once
    /// these are synced.
    pub fn seq(&mut self, out: &mut Out) -> Option<u64> {
        (!out.write.is_empty()).then(|| {
            self.next_seq += 1;
            self.disk_health.began(self.next_seq, self.now);
            self.sync_q.push_back((self.next_seq, self.d.state.mark));
            self.late_q
                .push_back((self.next_seq, std::mem::take(&mut out.late)));
            self.next_seq
        })
    }

    /// Hands what must wait for the disk to the newest write under way, or sends it if there is none.
    pub fn settled(&mut self, out: &mut Out) {
        let v = std::mem::take(&mut out.late);
        match self.late_q.back_mut() {
            Some((_, q)) => q.extend(v),
            None => out.send.extend(v),
        }
    }

    /// Learns that all writes up to number `seq` are on disk: passes entries on, answers, and sends what
    /// waited for that.
    pub fn synced(&mut self, now: Time, seq: u64, out: &mut Out) {
        self.disk_health.synced(seq, now);
        while self.sync_q.front().is_some_and(|(s, _)| *s <= seq) {
            if let Some((_, m)) = self.sync_q.pop_front() {
                let from = self.synced;
                if self.succ_have >= from {
                    self.succ_at = now;
                }
                self.synced = m;
                self.advance(now, from, out);
            }
        }
        while self.late_q.front().is_some_and(|(s, _)| *s <= seq) {
            out.send
                .extend(self.late_q.pop_front().map(|(_, v)| v).unwrap_or_default());
        }
    }

    /// Forgets what is synced, and what writes under way would make synced.
    pub(crate) fn nothing_synced(&mut self) {
        self.synced = 0;
        self.sync_q.iter_mut().for_each(|(_, mark)| *mark = 0);
    }
}
