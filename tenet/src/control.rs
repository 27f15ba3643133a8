//! The control side of one node: takes packets, finished syncs, orders and stop, and hands each to gossip, the
//! chain, the follower or the failover controller. Gives the packets, records, answers and promotions wanted.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::config::Config;
use crate::disk::*;
pub use crate::effect::*;
use crate::follow::Follow;
use crate::pilot::Watch;
use crate::reasons::Reasons;
use crate::state::*;
use crate::table::Table;
use crate::wire::*;
use std::collections::BTreeMap;
use std::sync::Arc;

pub(crate) struct Pending {
    pub call: u64,
    pub ask: Ask,
    pub born: Time,
    pub sent: Time,
    /// The head it was sent to; none while no head was known.
    pub to: Option<Addr>,
}

/// The control side of a process.
pub struct Control {
    /// This process.
    pub me: Seat,
    pub(crate) disk: bool,
    pub(crate) domain: String,
    pub(crate) http: Addr,
    pub(crate) wall: u64,
    pub(crate) c: Colleagues,
    pub(crate) chain: Option<Chain>,
    pub(crate) f: Follow,
    pub(crate) watch: Watch,
    /// Questions to the chain that wait for their outcome, by number.
    pub(crate) pending: BTreeMap<u64, Pending>,
    pub(crate) ids: Ids,
    pub(crate) why: Reasons,
    pub(crate) cfg: Option<(Mark, Arc<Config>)>,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) stopping: bool,
    pub(crate) stale: bool,
    pub(crate) told: Mark,
    pub(crate) pilot_at: Time,
    pub(crate) table_at: Time,
}

impl Control {
    /// A process that starts at `now` (ms), and what it wants done first.
    pub fn new(s: Start, now: Time) -> (Control, Effect) {
        let born = s.durable.is_none();
        let id = s.durable.as_ref().map_or(mix(s.seed) | 1, |d| d.id);
        let me = Seat { id, addr: s.addr };
        let sum = Summary {
            id,
            addr: s.addr,
            http: s.http,
            domain: s.domain.clone(),
            disk: s.disk,
            life: (s.wall / 100) as u32,
            status: 0,
            view: s.durable.as_ref().map_or(0, |d| d.view.n),
            mark: 0,
            allows: false,
            stopping: false,
        };
        let d = s.durable.unwrap_or(Durable {
            id,
            ..Durable::default()
        });
        let view = d.view.clone();
        let mut me = Control {
            me,
            disk: s.disk,
            domain: s.domain,
            http: s.http,
            wall: s.wall.saturating_sub(now),
            c: Colleagues::new(sum, s.seeds, s.wire),
            chain: s.disk.then(|| {
                Chain::new(me, d, now)
                    .with(s.found, s.founders, s.copies)
                    .requesting_from(first_ask(s.wall, s.seed))
            }),
            f: Follow::new(view, mix(s.seed ^ 3) >> 1),
            watch: Watch::default(),
            pending: BTreeMap::new(),
            ids: Ids::new(s.seed),
            why: Reasons::default(),
            cfg: None,
            table: None,
            stopping: false,
            stale: true,
            told: 0,
            pilot_at: 0,
            table_at: 0,
        };
        let mut out = Out::default();
        if born && s.disk {
            out.write.push(Rec::Born(id));
        }
        let mut e = Effect::default();
        me.finish(now, out, &mut e);
        (me, e)
    }

    /// Takes an input at `now` (ms, never falling) and returns what it wants done.
    pub fn poll(&mut self, now: Time, i: In) -> Effect {
        let mut e = Effect::default();
        let mut out = Out::default();
        match i {
            In::Wakeup => (),
            In::Packet(p) => self.packet(now, p, &mut out, &mut e),
            In::Synced(s) => {
                self.chain
                    .as_mut()
                    .into_iter()
                    .for_each(|c| c.synced(now, s, &mut out));
            }
            In::Ask { call, id, op } => self.take_order(now, (call, id, op), &mut out, &mut e),
            In::Announce { call, op } => self.announce(now, call, op, &mut out, &mut e),
            In::Show { call, what, arg } => {
                e.response.push((call, self.show(now, &what, &arg)));
            }
            In::Sights(v) => match self.head() {
                Some(a) if a != self.me.addr => out.send.push((a, Msg::Sights { v })),
                _ => self.watch.sights(now, self.me.id, v),
            },
            In::Clean { db, since } => {
                out.send
                    .extend(self.head().map(|a| (a, Msg::Clean { db, epoch: since })));
            }
            In::Promoted {
                db,
                epoch,
                server,
                done,
            } => {
                let t = match done {
                    Ok(true) => format!("{db}: the platform promoted {server}"),
                    Ok(false) => format!("{db}: the platform is promoting {server}"),
                    Err(true) => {
                        format!("{db}: promoting {server}, outcome unknown, asking for it again")
                    }
                    Err(false) => format!("{db}: the platform rejected promoting {server}"),
                };
                self.why.tell(now, &db, t);
                let terms = self.f.state.numbers_terms(&server);
                let op = self.watch.promoted(now, &db, epoch, &server, terms, done);
                op.into_iter()
                    .for_each(|op| self.ask(now, 0, None, op, &mut out));
            }
            In::Seeds(v) => self.c.seeds = v,
            In::Stopping => {
                self.stopping = true;
                self.c.stop(now, &mut out.send);
                self.stale = true;
            }
        }
        self.finish(now, out, &mut e);
        e
    }

    pub(crate) fn head(&self) -> Option<Addr> {
        self.f.view.chain.first().map(|s| s.addr)
    }

    fn packet(&mut self, now: Time, p: Packet, out: &mut Out, e: &mut Effect) {
        let Packet {
            from, addr, msg, ..
        } = p;
        if form(&msg) > self.c.wire {
            return;
        }
        self.c.take(now, from, addr, &msg, &mut out.send);
        match msg {
            Msg::Outcome { question, verdict } => {
                if let Some(p) = self.pending.remove(&question).filter(|p| p.call != 0) {
                    e.response.push((p.call, Reply::Verdict(verdict)));
                }
            }
            Msg::Sights { v } => self.watch.sights(now, from, v),
            Msg::Clean { db, epoch } => {
                self.watch.clean.insert((from, db), epoch);
            }
            Msg::Nudge { mark } => self.f.nudge(mark),
            Msg::Relay { to, packet } if to != self.me.addr => {
                let (from, addr, cluster) = (self.me.id, self.me.addr, self.f.view.cluster);
                e.send.push((
                    to,
                    Packet {
                        from,
                        addr,
                        cluster,
                        msg: Msg::Relay { to, packet },
                    },
                ));
            }
            Msg::Relay { packet, .. } => match decode(&packet) {
                Ok(p) => {
                    self.c.apart(p.addr);
                    self.packet(now, p, out, e)
                }
                Err(w) => e.log.push(format!("what was relayed does not read: {w}")),
            },
            Msg::ViewIs { view } => {
                self.f.learn(&view);
                self.hand_to_chain(now, from, addr, Msg::ViewIs { view }, out);
            }
            m => self.follower_takes(now, from, addr, m, out),
        }
    }
}
