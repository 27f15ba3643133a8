use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::wire::Msg;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Default, speedy::Writable)]
pub struct Agreement {
    pub ballot: u64,
    pub promises: BTreeMap<NodeId, (Mark, u64, Option<View>)>,
    pub accepts: BTreeSet<NodeId>,
    pub value: Option<View>,
    pub began: Time,
    pub sent: Time,
    pub next: Time,
    pub heard: u64,
    pub touched: Time,
}

fn majority(v: &View) -> usize {
    v.voters.len() / 2 + 1
}

impl Chain {
    fn voter(&self) -> bool {
        self.d.view.voters.iter().any(|s| s.id == self.me.id)
    }

    pub(crate) fn now_at(&self, s: &Seat, c: &Colleagues) -> Addr {
        match s.id == self.me.id {
            true => self.me.addr,
            false => c
                .all
                .get(&s.id)
                .filter(|_| c.alive(s.id))
                .map_or(s.addr, |k| k.s.addr),
        }
    }

    pub(crate) fn to_voters(&self, m: Msg, c: &Colleagues, out: &mut Out) {
        out.late.extend(
            self.d
                .view
                .voters
                .iter()
                .map(|s| (self.now_at(s, c), m.clone())),
        );
    }

    pub fn agree_tick(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + VIEW_ROUND;
        let n = self.d.view.n;
        if let Some(a) = c.live().filter(|s| s.view > n).map(|s| s.addr).next() {
            out.send.push((a, Msg::ViewAsk));
        }
        if self.is_tail() && now >= self.tail.next {
            self.tail.next = now + TAIL_PERMIT / 4;
            self.tail.seq += 1;
            let seq = self.tail.seq;
            self.tail.asks.insert(seq, now);
            self.tail.asks.retain(|_, t| now < *t + TAIL_PERMIT);
            self.to_voters(Msg::TailAsk { view: n, seq }, c, out);
        }
        if self.voter() {
            self.drive(now, c, out);
        }
    }

    fn wanted(&self, now: Time, c: &Colleagues) -> Option<String> {
        let v = &self.d.view;
        let quiet = |s: &&Seat| s.id != self.me.id && c.quiet(s.id, now).is_some();
        if let Some(s) = v.chain.iter().find(quiet) {
            return Some(format!("{:x} in the chain is silent", s.id));
        }
        if let Some(s) = v
            .chain
            .iter()
            .filter(|_| v.chain.len() > 2)
            .find(|s| c.stops(s.id))
        {
            return Some(format!("{:x} in the chain is stopping", s.id));
        }
        if let Some(s) = v
            .voters
            .iter()
            .chain(&v.chain)
            .find(|s| self.now_at(s, c) != s.addr)
        {
            return Some(format!("{:x} is at {} now", s.id, self.now_at(s, c)));
        }
        if self.stuck(now) {
            return Some("the next in the chain does not sync".into());
        }
        if self.d.promised > 0 && now > self.agree.touched + VIEW_OPEN {
            return Some("an agreement was left open".into());
        }
        let seat = |id: NodeId| v.chain.iter().any(|s| s.id == id);
        let votes = |id: NodeId| v.voters.iter().any(|s| s.id == id);
        let room = v.voters.iter().any(|s| self.missing(s.id, now, c));
        if v.voters.len() + 2 <= VOTERS_MOST && self.joiners(c).len() >= 2 {
            return Some("two more disks can vote".into());
        }
        let join = c
            .live()
            .filter(|s| s.disk && s.view > 0 && !s.stopping)
            .find(|s| !seat(s.id) && (votes(s.id) || room));
        let me_out = !seat(self.me.id) && !c.me.stopping;
        join.map(|s| format!("{:x} can join the chain", s.id))
            .or(me_out.then(|| "this disk can join the chain".into()))
    }

    /// Its disk is gone for all that is known, so that another may take its vote.
    pub fn missing(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        let unseen = now > self.born + VOTER_REPLACE && !c.all.contains_key(&id);
        let at = self
            .d
            .view
            .voters
            .iter()
            .find(|s| s.id == id)
            .map(|s| s.addr);
        let reborn = c.live().any(|s| s.disk && s.id != id && Some(s.addr) == at);
        id != self.me.id
            && (reborn || unseen || c.quiet(id, now).is_some_and(|q| q > VOTER_REPLACE))
    }

    fn drive(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        let n = self.d.view.n;
        let rank = self
            .d
            .view
            .voters
            .iter()
            .filter(|s| s.id < self.me.id && c.alive(s.id))
            .count() as Time;
        if self.agree.ballot == 0 {
            let Some(why) = self.wanted(now, c) else {
                return;
            };
            if now < self.agree.next + rank * VIEW_HOLD {
                return;
            }
            let at = self.d.voters_ix(self.me.id) as u64;
            let round = (self.agree.heard.max(self.d.promised) >> 8) + 1;
            let heard = self.agree.heard;
            out.stories
                .push(("view".into(), format!("proposing view {}: {why}", n + 1)));
            self.agree = Agreement {
                ballot: (round << 8) | at,
                began: now,
                heard,
                touched: now,
                ..Agreement::default()
            };
        }
        let b = self.agree.ballot;
        if now > self.agree.began + VIEW_MOST {
            let heard = self.agree.heard.max(b);
            self.agree = Agreement {
                next: now + VIEW_HOLD * (1 + rank),
                heard,
                touched: now,
                ..Agreement::default()
            };
            return;
        }
        let enough = self.agree.promises.len() >= majority(&self.d.view);
        let all = self.agree.promises.len() == self.d.view.voters.len();
        if self.agree.value.is_none() && enough && (all || now > self.agree.began + 150) {
            self.agree.value = self.build(now, c);
            self.agree.sent = 0;
            if self.agree.value.is_none() {
                self.agree = Agreement {
                    next: now + VIEW_HOLD * (2 + rank),
                    heard: b,
                    touched: now,
                    ..Agreement::default()
                };
                return;
            }
        }
        if now >= self.agree.sent + 100 {
            self.agree.sent = now;
            let m = match self.agree.value.clone() {
                Some(value) => Msg::Accept {
                    inst: n + 1,
                    ballot: b,
                    value,
                },
                None => Msg::Prepare {
                    inst: n + 1,
                    ballot: b,
                },
            };
            self.to_voters(m, c, out);
        }
    }

    pub fn agree_take(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: Msg,
        c: &Colleagues,
        out: &mut Out,
    ) {
        let n = self.d.view.n;
        let voted = self.d.view.voters.iter().any(|s| s.id == from);
        match m {
            Msg::Pledge { set } => self.pledged(now, from, set, out),
            Msg::ViewAsk if n > 0 => out.late.push((
                addr,
                Msg::ViewIs {
                    view: self.d.view.clone(),
                },
            )),
            Msg::ViewIs { view } => self.adopt(now, view, out),
            Msg::Prepare { inst, .. } | Msg::Accept { inst, .. } if inst <= n && n > 0 => {
                out.late.push((
                    addr,
                    Msg::ViewIs {
                        view: self.d.view.clone(),
                    },
                ));
            }
            Msg::Prepare { inst, ballot } if inst == n + 1 && self.voter() => {
                self.agree.heard = self.agree.heard.max(ballot);
                self.agree.touched = now;
                if ballot < self.d.promised {
                    out.send.push((
                        addr,
                        Msg::Nack {
                            inst,
                            ballot: self.d.promised,
                        },
                    ));
                    return;
                }
                let (accepted, value) = (self.d.accepted, self.d.value.clone());
                if ballot > self.d.promised {
                    self.keep(
                        Rec::Vote {
                            promised: ballot,
                            accepted,
                            value: value.clone(),
                        },
                        out,
                    );
                }
                self.give_tail(c, out);
                let whole = self.d.whole;
                out.late.push((
                    addr,
                    Msg::Promise {
                        inst,
                        ballot,
                        whole,
                        accepted,
                        value,
                    },
                ));
            }
            Msg::Promise {
                inst,
                ballot,
                whole,
                accepted,
                value,
            } if inst == n + 1
                && ballot == self.agree.ballot
                && voted
                && self.agree.value.is_none() =>
            {
                self.agree.promises.insert(from, (whole, accepted, value));
            }
            Msg::Accept {
                inst,
                ballot,
                value,
            } if inst == n + 1 && self.voter() => {
                if ballot < self.d.promised {
                    out.send.push((
                        addr,
                        Msg::Nack {
                            inst,
                            ballot: self.d.promised,
                        },
                    ));
                } else if now >= self.tail.granted {
                    if ballot != self.d.accepted {
                        self.keep(
                            Rec::Vote {
                                promised: ballot,
                                accepted: ballot,
                                value: Some(value),
                            },
                            out,
                        );
                    }
                    out.late.push((addr, Msg::Accepted { inst, ballot }));
                }
            }
            Msg::Accepted { inst, ballot }
                if inst == n + 1 && ballot == self.agree.ballot && voted =>
            {
                self.agree.accepts.insert(from);
                if self.agree.accepts.len() >= majority(&self.d.view) {
                    if let Some(view) = self.agree.value.clone() {
                        self.adopt(now, view.clone(), out);
                        out.late.extend(
                            c.live()
                                .map(|s| (s.addr, Msg::ViewIs { view: view.clone() })),
                        );
                    }
                }
            }
            Msg::Nack { inst, ballot }
                if inst == n + 1 && self.agree.ballot > 0 && ballot > self.agree.ballot =>
            {
                let next = now + VIEW_HOLD + mix(self.me.id ^ now) % VIEW_HOLD;
                self.agree = Agreement {
                    next,
                    heard: ballot,
                    touched: now,
                    ..Agreement::default()
                };
            }
            Msg::TailAsk { view, seq } if view == n && self.voter() && self.d.promised == 0 => {
                let tail = self.d.view.chain.last().is_some_and(|s| s.id == from);
                if tail {
                    self.tail.granted_seq = self.tail.granted_seq.max(seq);
                    self.tail.granted = self.tail.granted.max(now + TAIL_PERMIT + TAIL_DRIFT);
                    out.late.push((addr, Msg::TailGrant { view, seq }));
                }
            }
            Msg::TailGive { view, seq }
                if view == n
                    && seq >= self.tail.granted_seq
                    && self.d.view.chain.last().is_some_and(|s| s.id == from) =>
            {
                self.tail.granted = now;
            }
            Msg::TailGrant { view, seq } if view == n && voted => {
                if let Some(t) = self.tail.asks.get(&seq) {
                    let e = self.tail.got.entry(from).or_insert(*t);
                    *e = (*e).max(*t);
                    let mut v: Vec<Time> = self.tail.got.values().copied().collect();
                    v.sort_unstable_by(|a, b| b.cmp(a));
                    let k = majority(&self.d.view) - 1;
                    self.tail.until = v.get(k).map_or(0, |t| t + TAIL_PERMIT);
                }
            }
            _ => (),
        }
    }
}

impl Durable {
    fn voters_ix(&self, id: NodeId) -> usize {
        self.view
            .voters
            .iter()
            .position(|s| s.id == id)
            .unwrap_or(0)
    }
}

pub fn seats(v: &[Seat]) -> String {
    v.iter()
        .map(|s| s.addr.to_string())
        .collect::<Vec<_>>()
        .join(" > ")
}
