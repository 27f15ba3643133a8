//! One replica of the chain: what it holds, and its place among the others.

use crate::agreement::Agreement;
use crate::base::*;
use crate::clock::AgreedClock;
use crate::colleagues::Colleagues;
use crate::contact::Contacts;
use crate::disk::*;
use crate::disk_health::DiskHealth;
use crate::followers::Followers;
use crate::lease::TailLease;
pub use crate::out::Out;
use crate::replicated_log::ReplicatedLog;
use crate::snapshot::{SnapshotReader, SnapshotReceiver, SnapshotSender};
use crate::wire::Msg;
use std::collections::{BTreeMap, VecDeque};

/// One control machine's part in the chain: its disk's content, the log, and its work as a voter. Entries
/// enter at the head, are synced by each member before they are passed on, and are answered by the tail.
#[derive(Clone)]
pub struct Chain {
    /// This machine.
    pub me: Seat,
    /// What is on disk, or is being written there: view, votes and control state.
    pub d: Durable,
    /// The newest entries, for those that are behind.
    pub log: ReplicatedLog,
    /// The log index up to which this machine's disk holds everything.
    pub synced: Mark,
    /// Up to which log index a follower here knows that all of the chain hold the log.
    pub(crate) confirmed: Mark,
    pub(crate) next_seq: u64,
    pub(crate) sync_q: VecDeque<(u64, Mark)>,
    pub(crate) late_q: VecDeque<(u64, Vec<(Addr, Msg)>)>,
    pub(crate) succ_have: Mark,
    /// Up to which log index the successor was sent entries.
    pub(crate) succ_sent: Mark,
    pub(crate) succ_at: Time,
    pub(crate) resend_at: Time,
    pub(crate) snapshots: SnapshotSender,
    pub(crate) incoming: SnapshotReceiver,
    pub(crate) agree: Agreement,
    pub(crate) tail: TailLease,
    pub(crate) contacts: Contacts,
    pub(crate) disk_health: DiskHealth,
    pub(crate) disk_probe_at: Time,
    pub(crate) now: Time,
    pub(crate) pledges: BTreeMap<NodeId, Vec<Seat>>,
    pub(crate) tick_at: Time,
    pub(crate) born: Time,
    /// When the present view was adopted; 0: before this process started.
    pub(crate) adopted_at: Time,
    pub(crate) followers: Followers,
    pub(crate) found: bool,
    pub(crate) founders: Vec<Addr>,
    pub(crate) copies: usize,
    pub(crate) clock: AgreedClock,
}

impl Chain {
    /// A machine that starts at `now` (ms) with what its disk held.
    pub fn new(me: Seat, d: Durable, now: Time) -> Self {
        let d = d.recovered();
        let synced = d.state.mark;
        Chain {
            me,
            d,
            log: ReplicatedLog::default(),
            synced,
            confirmed: 0,
            next_seq: 0,
            sync_q: VecDeque::new(),
            late_q: VecDeque::new(),
            succ_have: 0,
            succ_sent: 0,
            succ_at: now,
            resend_at: 0,
            snapshots: SnapshotSender::default(),
            incoming: SnapshotReceiver::default(),
            agree: Agreement::default(),
            tail: TailLease::new(now),
            contacts: Contacts::new(me.id, now),
            disk_health: DiskHealth::default(),
            disk_probe_at: 0,
            now,
            pledges: BTreeMap::new(),
            tick_at: 0,
            born: now,
            adopted_at: 0,
            followers: Followers::default(),
            found: true,
            founders: Vec::new(),
            copies: 2,
            clock: AgreedClock::default(),
        }
    }

    /// Sets whether the fleet may be founded, by whom (nobody named: any three machines with a disk), and how
    /// many synced copies a change needs.
    pub fn with(mut self, found: bool, founders: Vec<Addr>, copies: usize) -> Self {
        let set = (found, founders, copies);
        (self.found, self.founders, self.copies) = set;
        self
    }

    /// Its position in the chain, 0 at the head; none when it is no member.
    pub fn place(&self) -> Option<usize> {
        self.d.view.chain.iter().position(|s| s.id == self.me.id)
    }

    /// Whether it is in sync: a member whose disk holds all that was confirmed in the present view.
    pub fn whole(&self) -> bool {
        self.d.view.n > 0 && self.d.whole == self.d.view.n && self.place().is_some()
    }

    /// Whether it is the head, and in sync: it orders the log.
    pub fn is_head(&self) -> bool {
        self.place() == Some(0) && self.whole()
    }

    /// Whether it is the tail, and in sync: it answers, while it holds a lease.
    pub fn is_tail(&self) -> bool {
        self.place()
            .is_some_and(|i| i + 1 == self.d.view.chain.len())
            && self.whole()
    }

    pub(crate) fn succ(&self) -> Option<Seat> {
        let next = self.place()? + 1;
        self.d.view.chain.get(next).copied()
    }

    pub(crate) fn pred(&self) -> Option<Seat> {
        let before = self.place()?.checked_sub(1)?;
        self.d.view.chain.get(before).copied()
    }

    /// Forgets what it knew of its successor, as a view was adopted at `now`.
    pub fn adopted(&mut self, now: Time) {
        // An older one may lack what an earlier view confirmed after it was taken.
        self.snapshots.clear();
        self.adopted_at = now;
        self.succ_have = 0;
        self.succ_sent = 0;
        self.succ_at = now;
        self.resend_at = 0;
    }

    /// Takes a message from `from` at `addr`. Messages of another view than the present one change nothing;
    /// who sent one of an older view is told the present view.
    pub fn take(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: Msg,
        c: &Colleagues,
        out: &mut Out,
    ) {
        let n = self.d.view.n;
        match m {
            Msg::Propose { ask } => self.take_proposal(now, addr, ask, out),
            Msg::Append {
                view,
                prev,
                entries,
            } if view == n && self.pred().is_some_and(|p| p.id == from) => {
                self.take_entries(now, addr, prev, entries, out)
            }
            Msg::Have { view, mark } if view == n && self.succ().is_some_and(|s| s.id == from) => {
                self.successor_has(now, mark, out)
            }
            Msg::SnapshotAsk {
                view,
                reader,
                id,
                offset,
            } if self.may_read(from, view, reader, now) => {
                self.send_snapshot(now, addr, reader, id, offset, out)
            }
            Msg::SnapshotOffer { view, id, .. }
                if view == n && self.pred().is_some_and(|p| p.id == from) =>
            {
                self.snapshot_offered(now, addr, id, out)
            }
            Msg::SnapshotPart { view, part, .. }
                if view == n && self.pred().is_some_and(|p| p.id == from) =>
            {
                self.take_snapshot_part(now, addr, &part, out)
            }
            Msg::Append { view, .. }
            | Msg::Have { view, .. }
            | Msg::SnapshotAsk {
                view,
                reader: SnapshotReader::Successor,
                ..
            } if view < n => {
                let view = self.d.view.clone();
                out.send.push((addr, Msg::ViewIs { view }));
            }
            Msg::Refresh { seq, have, cluster } => self.refresh(now, addr, seq, have, cluster, out),
            m => self.agree_take(now, from, addr, m, c, out),
        }
    }

    /// Does what is due at `now`, and returns when it wants to be called again at the latest (ms).
    pub fn tick(&mut self, now: Time, c: &Colleagues, out: &mut Out) -> Time {
        self.now = now;
        self.clock.observe(now, self.d.state.clock);
        if self.d.view.n == 0 {
            self.found_tick(now, c, out);
        } else {
            self.agree_tick(now, c, out);
            if now >= self.resend_at && self.succ().is_some() {
                self.forward(now, out);
            }
            self.ask_for_snapshot(now, out);
            self.snapshots.expire(now);
            self.nudge_followers(now, out);
        }
        let nudge = self.followers.nudge_due().unwrap_or(Time::MAX);
        self.tick_at.min(now + CHAIN_AGAIN).min(nudge)
    }
}
