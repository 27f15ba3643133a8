//! A follower of the control state: asks the tail for entries, applies them in order, and holds a lease counted
//! from before the question. An answer counts only for a question of this life of the process.

use crate::base::*;
use crate::colleagues::Colleagues;
use crate::control::Control;
use crate::disk::View;
use crate::snapshot::SnapshotReceiver;
use crate::state::*;
use crate::wire::{encode, Changes, Msg, Packet};
use std::collections::BTreeMap;

/// This process's copy of the control state, and the lease under which it may be used.
pub struct Follow {
    /// The copy, at log index `state.mark`.
    pub state: State,
    /// The newest view heard of: its last member, the tail, is asked.
    pub view: View,
    /// Until when the lease holds (ms); 0: never held.
    pub until: Time,
    asks: BTreeMap<u64, Time>,
    seq: u64,
    pub(crate) next: Time,
    wanted: Mark,
    turn: usize,
    /// Questions since the tail last answered one.
    unanswered: u32,
    pub(crate) incoming: SnapshotReceiver,
    /// The state is not the one that the next entry follows on; a snapshot replaces it.
    pub(crate) diverged: bool,
}

impl Follow {
    /// `first` numbers the first ask; it differs by each life of the process, so that no answer to
    /// an earlier one counts for this.
    pub fn new(view: View, first: u64) -> Self {
        Follow {
            state: State::default(),
            view,
            until: 0,
            asks: BTreeMap::new(),
            seq: first,
            next: 0,
            wanted: 0,
            turn: 0,
            unanswered: 0,
            incoming: SnapshotReceiver::default(),
            diverged: false,
        }
    }

    /// Whether the lease holds at `now`.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// Takes a newer view of the same cluster, and asks its tail at once.
    pub fn learn(&mut self, v: &View) {
        let same = self.view.cluster == 0 || v.cluster == self.view.cluster;
        if v.n > self.view.n && same {
            self.view = v.clone();
            self.next = 0;
        }
    }

    /// Learns that the log reaches to `m`, and asks at once if that is beyond the copy.
    pub fn nudge(&mut self, m: Mark) {
        if m > self.state.mark {
            self.wanted = m;
            self.next = 0;
        }
    }

    /// Takes the tail's answer to question `seq`; true when the copy changed. The lease is counted from when
    /// that was asked, and only once the copy reaches `have`. An answer to no open question, or from another
    /// cluster, is dropped.
    pub fn fresh(&mut self, now: Time, seq: u64, have: Mark, part: Changes, view: View) -> bool {
        self.learn(&view);
        let asked = self.asks.get(&seq).copied();
        if view.cluster != self.view.cluster || (seq != 0 && asked.is_none()) {
            return false;
        }
        self.unanswered = 0;
        let was = self.state.mark;
        match part {
            Changes::Snapshot(_) => return false,
            Changes::Entries(entries) => self.apply_all(&entries),
        }
        if let Some(t) = asked.filter(|_| self.state.mark >= have) {
            self.until = self.until.max(t + PERMIT);
        }
        if self.state.mark < have || seq == 0 {
            self.next = now;
        }
        self.state.mark != was
    }

    fn apply_all(&mut self, entries: &[Entry]) {
        for entry in entries {
            if entry.mark != self.state.mark + 1 {
                continue;
            }
            if !self.state.fits(entry) {
                self.diverged = true;
                return;
            }
            self.state.apply(entry);
        }
    }

    /// How long until the next question. Who is about to lose its lease asks often; who has none and gets
    /// no answer asks less often, and not all at once.
    fn pause(&mut self, now: Time) -> Time {
        if self.holds(now + PERMIT - REFRESH_LATE) {
            return REFRESH;
        }
        if self.holds(now) {
            return REFRESH_AGAIN;
        }
        let again = REFRESH_AGAIN << self.unanswered.min(REFRESH_DOUBLINGS);
        self.unanswered += 1;
        again + mix(self.seq) % (again / 2)
    }

    /// Asks the tail, if that is due.
    pub fn tick(&mut self, now: Time, c: &mut Colleagues, send: &mut Vec<(Addr, Msg)>) {
        if now < self.next {
            return;
        }
        self.next = now + self.pause(now);
        self.asks.retain(|_, t| now < *t + PERMIT);
        let late = !self.holds(now + PERMIT / 2);
        if late || self.view.n == 0 {
            let v: Vec<Addr> = c.live().filter(|s| s.disk).map(|s| s.addr).collect();
            self.turn += 1;
            if !v.is_empty() {
                send.push((v[self.turn % v.len()], Msg::ViewAsk));
            }
        }
        if let Some(t) = self.view.chain.last() {
            if self.until > 0 && !self.holds(now + PERMIT - REFRESH_DOUBT) {
                c.check(now, t.addr, send);
            }
            self.seq += 1;
            self.asks.insert(self.seq, now);
            let have = self.state.mark;
            let cluster = match self.diverged {
                true => 0,
                false => self.state.cluster,
            };
            send.push((
                t.addr,
                Msg::Refresh {
                    seq: self.seq,
                    have,
                    cluster,
                },
            ));
        }
    }
}

impl Control {
    pub(crate) fn by_relay(&self, to: Addr, p: Packet) -> (Addr, Packet) {
        use Msg::*;
        if matches!(
            p.msg,
            Probe { .. }
                | ProbeAck { .. }
                | ProbeFor { .. }
                | ProbeOf { .. }
                | Speaks { .. }
                | Contact { .. }
        ) {
            return (to, p);
        }
        match self.c.relay_to(to) {
            Some(via) => (
                via,
                Packet {
                    msg: Relay {
                        to,
                        packet: encode(&p),
                    },
                    ..p
                },
            ),
            None => (to, p),
        }
    }

    /// The control state as this process holds it.
    pub fn state(&self) -> &State {
        &self.f.state
    }

    /// The chain does without this process, and no vote of it is left that another could take.
    pub fn left(&self) -> bool {
        let gone = |c: &crate::chain::Chain| c.place().is_none() && !c.hands_over(&self.c);
        self.chain.as_ref().is_none_or(gone)
    }

    /// The newest view that this process has heard of.
    pub fn view(&self) -> &View {
        &self.f.view
    }

    /// Wall clock (ms) at the local time `now`, as counted on since the start.
    pub fn wall(&self, now: Time) -> u64 {
        self.wall + now
    }
}
