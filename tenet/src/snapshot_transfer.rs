//! Snapshots between replicas: the predecessor sends, the successor collects the parts.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::disk::Rec;
use crate::snapshot::{Received, SnapshotId, SnapshotPart, SnapshotReader};
use crate::state::State;
use crate::wire::Msg;

impl Chain {
    /// The successor reads in the present view from a replica in sync; a follower reads from the tail
    /// under its lease.
    pub(crate) fn may_read(
        &self,
        from: NodeId,
        view: Mark,
        reader: SnapshotReader,
        now: Time,
    ) -> bool {
        match reader {
            SnapshotReader::Successor => {
                view == self.d.view.n && self.whole() && self.succ().is_some_and(|s| s.id == from)
            }
            SnapshotReader::Follower => self.serves_readers(now),
        }
    }

    /// The snapshot for a reader at index `have`, one that the log follows on.
    pub(crate) fn offered_snapshot(&mut self, now: Time, have: Mark) -> SnapshotId {
        let newest = self.d.state.mark;
        let before_log = self.log.first_index().map_or(newest, |first| first - 1);
        let oldest = before_log.max(have.min(newest));
        self.snapshots.offer(now, &self.d.state, oldest)
    }

    /// Tells the successor of a snapshot, once it is synced here.
    pub(crate) fn offer_snapshot(&mut self, now: Time, to: Addr, out: &mut Out) {
        if !self.whole() {
            return;
        }
        let id = self.offered_snapshot(now, self.succ_have);
        let offer = Msg::SnapshotOffer {
            view: self.d.view.n,
            reader: SnapshotReader::Successor,
            id,
        };
        out.late.push((to, offer));
    }

    /// Answers a reader with the part that it asked for, or with the offer of another snapshot.
    pub(crate) fn send_snapshot(
        &mut self,
        now: Time,
        to: Addr,
        reader: SnapshotReader,
        id: SnapshotId,
        offset: u32,
        out: &mut Out,
    ) {
        let view = self.d.view.n;
        if reader == SnapshotReader::Successor {
            self.succ_at = now;
        }
        let part = self.snapshots.part(now, id, offset);
        let (index, answer) = match part {
            Some(part) => (id.index, Msg::SnapshotPart { view, reader, part }),
            None => {
                let id = self.offered_snapshot(now, 0);
                (id.index, Msg::SnapshotOffer { view, reader, id })
            }
        };
        if index <= self.synced {
            out.send.push((to, answer));
        } else if reader == SnapshotReader::Successor {
            out.late.push((to, answer));
        }
    }

    /// Asks the predecessor for what is missing here, while this replica is not in sync.
    pub(crate) fn ask_for_snapshot(&mut self, now: Time, out: &mut Out) {
        let Some(predecessor) = self.pred().filter(|_| !self.whole()) else {
            return;
        };
        if let Some((id, offset)) = self.incoming.ask_again(now) {
            self.ask_part(predecessor.addr, id, offset, out);
        }
    }

    /// Collects a new snapshot, as the state here is not the one that the next entry follows on.
    pub(crate) fn restart_from_snapshot(&mut self, now: Time, out: &mut Out) {
        let Some(predecessor) = self.pred() else {
            return;
        };
        if let Some((id, offset)) = self.incoming.ask_again(now) {
            self.ask_part(predecessor.addr, id, offset, out);
        }
    }

    fn ask_part(&self, to: Addr, id: SnapshotId, offset: u32, out: &mut Out) {
        let ask = Msg::SnapshotAsk {
            view: self.d.view.n,
            reader: SnapshotReader::Successor,
            id,
            offset,
        };
        out.send.push((to, ask));
    }

    /// A snapshot is of use to a replica that is not in sync, or behind it.
    fn needs(&self, id: SnapshotId) -> bool {
        !self.whole() || id.index > self.d.state.mark
    }

    pub(crate) fn snapshot_offered(
        &mut self,
        now: Time,
        from: Addr,
        id: SnapshotId,
        out: &mut Out,
    ) {
        if !self.needs(id) {
            let (view, mark) = (self.d.view.n, self.synced);
            out.send.push((from, Msg::Have { view, mark }));
            return;
        }
        if let Some(offset) = self.incoming.offered(now, id) {
            self.ask_part(from, id, offset, out);
        }
    }

    pub(crate) fn take_snapshot_part(
        &mut self,
        now: Time,
        from: Addr,
        part: &SnapshotPart,
        out: &mut Out,
    ) {
        if !self.needs(part.id) {
            return;
        }
        match self.incoming.take(now, part) {
            Received::Ignored | Received::Damaged => (),
            Received::More { id, offset } => self.ask_part(from, id, offset, out),
            Received::Whole(state) => self.install(state, out),
        }
    }

    /// Replaces the state by the snapshot. What was synced before may be entries that nobody else
    /// holds; so nothing counts as synced here until the snapshot is.
    fn install(&mut self, state: Box<State>, out: &mut Out) {
        self.log.clear();
        self.snapshots.clear();
        self.nothing_synced();
        let whole = self.d.view.n;
        self.keep(Rec::Snapshot { state, whole }, out);
    }
}
