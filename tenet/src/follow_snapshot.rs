//! A follower collecting a snapshot from the tail.

use crate::base::*;
use crate::chain::Out;
use crate::control::Control;
use crate::disk::View;
use crate::follow::Follow;
use crate::snapshot::{Received, SnapshotId, SnapshotPart, SnapshotReader};
use crate::state::State;
use crate::wire::{Changes, Msg};

impl Follow {
    /// Learns that the tail has a snapshot to be read; says what to ask it for.
    fn snapshot_offered(&mut self, now: Time, id: SnapshotId, view: &View) -> Option<Msg> {
        self.learn(view);
        let of_use = view.cluster == self.view.cluster && id.index >= self.state.mark;
        let offset = self.incoming.offered(now, id).filter(|_| of_use)?;
        Some(self.part_ask(id, offset))
    }

    fn part_ask(&self, id: SnapshotId, offset: u32) -> Msg {
        Msg::SnapshotAsk {
            view: self.view.n,
            reader: SnapshotReader::Follower,
            id,
            offset,
        }
    }

    /// Takes a part of a snapshot: what to ask for next, and whether the state was replaced.
    fn snapshot_part(&mut self, now: Time, part: &SnapshotPart) -> (Option<Msg>, bool) {
        match self.incoming.take(now, part) {
            Received::Ignored | Received::Damaged => (None, false),
            Received::More { id, offset } => (Some(self.part_ask(id, offset)), false),
            Received::Whole(state) => (None, self.install(now, *state)),
        }
    }

    fn install(&mut self, now: Time, state: State) -> bool {
        if state.mark < self.state.mark {
            return false;
        }
        self.state = state;
        self.diverged = false;
        self.next = now;
        true
    }
}

impl Control {
    /// Holds the document once where the replica and the follower of this process hold the same.
    fn share_document(&mut self) {
        let Some(chain) = &self.chain else {
            return;
        };
        if chain.d.state.cfg == self.f.state.cfg {
            self.f.state.cfg = chain.d.state.cfg.clone();
        }
    }

    /// Takes an answer of the tail to this follower; what is meant for the replica goes to the chain.
    pub(crate) fn follower_takes(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        message: Msg,
        out: &mut Out,
    ) {
        let ask = match message {
            Msg::Fresh {
                seq,
                have,
                part,
                view,
            } => {
                let ask = match &part {
                    Changes::Snapshot(id) => self.f.snapshot_offered(now, *id, &view),
                    Changes::Entries(_) => None,
                };
                self.stale |= self.f.fresh(now, seq, have, part, view);
                self.share_document();
                ask
            }
            Msg::SnapshotOffer {
                reader: SnapshotReader::Follower,
                id,
                ..
            } => {
                let view = self.f.view.clone();
                self.f.snapshot_offered(now, id, &view)
            }
            Msg::SnapshotPart {
                reader: SnapshotReader::Follower,
                part,
                ..
            } => {
                let (ask, replaced) = self.f.snapshot_part(now, &part);
                self.stale |= replaced;
                ask
            }
            message => {
                self.hand_to_chain(now, from, addr, message, out);
                None
            }
        };
        out.send.extend(ask.map(|ask| (addr, ask)));
    }
}
