use crate::agreement::Agreement;
use crate::base::*;
use crate::colleagues::Colleagues;
use crate::contact::Contacts;
use crate::disk::*;
use crate::disk_health::DiskHealth;
use crate::lease::TailLease;
use crate::state::*;
use crate::wire::Msg;
use std::collections::{BTreeMap, VecDeque};

pub const KEPT: usize = 4096;

#[derive(Default)]
pub struct Out {
    pub send: Vec<(Addr, Msg)>,
    pub late: Vec<(Addr, Msg)>,
    pub write: Vec<Rec>,
    pub stories: Vec<(String, String)>,
}

#[derive(Clone)]
pub struct Chain {
    pub me: Seat,
    pub d: Durable,
    pub log: VecDeque<Entry>,
    pub synced: Mark,
    pub(crate) next_seq: u64,
    pub(crate) sync_q: VecDeque<(u64, Mark)>,
    pub(crate) late_q: VecDeque<(u64, Vec<(Addr, Msg)>)>,
    pub(crate) succ_have: Mark,
    pub(crate) succ_at: Time,
    pub(crate) resend_at: Time,
    pub(crate) frame_at: Time,
    pub(crate) agree: Agreement,
    pub(crate) tail: TailLease,
    pub(crate) contacts: Contacts,
    pub(crate) disk_health: DiskHealth,
    pub(crate) disk_probe_at: Time,
    pub(crate) now: Time,
    pub(crate) pledges: BTreeMap<NodeId, Vec<Seat>>,
    pub(crate) tick_at: Time,
    pub(crate) born: Time,
    pub(crate) subs: BTreeMap<Addr, Time>,
    /// What a follower was last given that was large: its last mark, and until when it is on its way.
    pub(crate) under_way: BTreeMap<Addr, (Mark, Time)>,
    pub(crate) found: bool,
    pub(crate) founders: Vec<Addr>,
    pub(crate) copies: usize,
}

impl Chain {
    pub fn new(me: Seat, d: Durable, now: Time) -> Self {
        let d = d.recovered();
        let synced = d.state.mark;
        Chain {
            me,
            d,
            log: VecDeque::new(),
            synced,
            next_seq: 0,
            sync_q: VecDeque::new(),
            late_q: VecDeque::new(),
            succ_have: 0,
            succ_at: now,
            resend_at: 0,
            frame_at: 0,
            agree: Agreement::default(),
            tail: TailLease::new(now),
            contacts: Contacts::new(me.id, now),
            disk_health: DiskHealth::default(),
            disk_probe_at: 0,
            now,
            pledges: BTreeMap::new(),
            tick_at: 0,
            born: now,
            subs: BTreeMap::new(),
            under_way: BTreeMap::new(),
            found: true,
            founders: Vec::new(),
            copies: 2,
        }
    }

    pub fn with(self, found: bool, founders: Vec<Addr>, copies: usize) -> Self {
        Chain {
            found,
            founders,
            copies,
            ..self
        }
    }

    pub fn keep(&mut self, r: Rec, out: &mut Out) -> Option<Verdict> {
        let v = self.d.play(&r);
        out.write.push(r);
        v
    }

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

    pub fn settled(&mut self, out: &mut Out) {
        let v = std::mem::take(&mut out.late);
        match self.late_q.back_mut() {
            Some((_, q)) => q.extend(v),
            None => out.send.extend(v),
        }
    }

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

    pub fn place(&self) -> Option<usize> {
        self.d.view.chain.iter().position(|s| s.id == self.me.id)
    }

    pub fn whole(&self) -> bool {
        self.d.view.n > 0 && self.d.whole == self.d.view.n && self.place().is_some()
    }

    pub fn is_head(&self) -> bool {
        self.place() == Some(0) && self.whole()
    }

    pub fn is_tail(&self) -> bool {
        self.place()
            .is_some_and(|i| i + 1 == self.d.view.chain.len())
            && self.whole()
    }

    pub(crate) fn succ(&self) -> Option<Seat> {
        self.place()
            .and_then(|i| self.d.view.chain.get(i + 1))
            .copied()
    }

    pub(crate) fn pred(&self) -> Option<Seat> {
        self.place()
            .filter(|i| *i > 0)
            .and_then(|i| self.d.view.chain.get(i - 1))
            .copied()
    }

    pub fn stuck(&self, now: Time) -> bool {
        self.succ().is_some()
            && self.whole()
            && self.succ_have < self.synced
            && now > self.succ_at + 1000
    }

    pub(crate) fn append(&mut self, e: Entry, out: &mut Out) {
        self.keep(Rec::Entry(e.clone()), out);
        self.log.push_back(e);
        if self.log.len() > KEPT {
            self.log.pop_front();
        }
    }

    pub(crate) fn after(&self, m: Mark) -> Option<Vec<Entry>> {
        let first = self.log.front().map_or(self.d.state.mark + 1, |e| e.mark);
        (m + 1 >= first).then(|| {
            self.log
                .iter()
                .filter(|e| e.mark > m && e.mark <= self.synced)
                .take(256)
                .cloned()
                .collect()
        })
    }

    pub fn adopted(&mut self, now: Time) {
        self.succ_have = 0;
        self.succ_at = now;
        self.resend_at = 0;
        self.frame_at = 0;
    }

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
            Msg::Propose { ask } => self.propose(ask, out),
            Msg::Append {
                view,
                prev,
                entries,
            } if view == n && self.pred().is_some_and(|p| p.id == from) => {
                if self.whole() && prev <= self.d.state.mark {
                    for e in entries {
                        if e.mark == self.d.state.mark + 1 {
                            self.append(e, out);
                        }
                    }
                }
                if self.whole() {
                    let mark = if prev > self.d.state.mark {
                        self.d.state.mark
                    } else {
                        self.synced
                    };
                    out.send.push((addr, Msg::Have { view, mark }));
                }
            }
            Msg::Have { view, mark } if view == n && self.succ().is_some_and(|s| s.id == from) => {
                if mark != self.succ_have {
                    self.succ_have = mark;
                    self.succ_at = now;
                    if mark < self.synced {
                        self.forward(now, out);
                    }
                }
            }
            Msg::FrameAsk { view } if view == n && self.succ().is_some_and(|s| s.id == from) => {
                self.send_frame(addr, out);
                self.succ_at = now;
            }
            Msg::Frame { view, state }
                if view == n && self.pred().is_some_and(|p| p.id == from) =>
            {
                if !self.whole() || state.mark > self.d.state.mark {
                    self.log.clear();
                    self.keep(Rec::Frame { state, whole: n }, out);
                } else {
                    out.send.push((
                        addr,
                        Msg::Have {
                            view,
                            mark: self.synced,
                        },
                    ));
                }
            }
            Msg::Append { view, .. } | Msg::Have { view, .. } | Msg::FrameAsk { view }
                if view < n =>
            {
                out.send.push((
                    addr,
                    Msg::ViewIs {
                        view: self.d.view.clone(),
                    },
                ));
            }
            Msg::Refresh { seq, have, cluster } => self.refresh(now, addr, seq, have, cluster, out),
            m => self.agree_take(now, from, addr, m, c, out),
        }
    }

    pub fn tick(&mut self, now: Time, c: &Colleagues, out: &mut Out) -> Time {
        self.now = now;
        if self.d.view.n == 0 {
            self.found_tick(now, c, out);
        } else {
            self.agree_tick(now, c, out);
            if now >= self.resend_at && self.succ().is_some() {
                self.forward(now, out);
            }
            if self.pred().is_some() && !self.whole() && now >= self.frame_at {
                self.frame_at = now + 2 * CHAIN_AGAIN;
                let view = self.d.view.n;
                out.send
                    .extend(self.pred().map(|p| (p.addr, Msg::FrameAsk { view })));
            }
        }
        self.tick_at.min(now + CHAIN_AGAIN)
    }
}
