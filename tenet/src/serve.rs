use crate::base::*;
use crate::chain::{Chain, Out};
use crate::kind::{Kind, Reject};
use crate::state::*;
use crate::wire::{Changes, Msg};

impl Chain {
    /// Numbers this life's asks for the tail's lease from `first` on, so that a grant to an earlier
    /// life of the process answers none of them.
    pub fn asking_from(mut self, first: u64) -> Self {
        self.tail.seq = first;
        self
    }

    pub fn propose(&mut self, ask: Ask, out: &mut Out) {
        if !self.is_head() {
            let to = self
                .d
                .view
                .chain
                .first()
                .map(|s| s.addr)
                .filter(|a| *a != self.me.addr);
            out.send.extend(to.map(|a| (a, Msg::Propose { ask })));
            return;
        }
        if self.d.view.chain.len() < self.copies {
            let verdict = Verdict {
                mark: 0,
                reject: Some(Reject::new(
                    Kind::NoCopies,
                    "too few control disks hold the state",
                )),
            };
            out.send.push((
                ask.from,
                Msg::Outcome {
                    question: ask.question,
                    verdict,
                },
            ));
            return;
        }
        let waiting = self
            .log
            .iter()
            .rev()
            .take(64)
            .any(|e| e.ask.id == ask.id && e.mark > self.synced);
        if waiting {
            return;
        }
        let known = self.d.state.verdict(&ask).is_some();
        if let (false, Err(r)) = (known, self.d.state.check(&ask.op)) {
            let verdict = Verdict {
                mark: 0,
                reject: Some(r),
            };
            out.send.push((
                ask.from,
                Msg::Outcome {
                    question: ask.question,
                    verdict,
                },
            ));
            return;
        }
        let mark = self.d.state.mark + 1;
        self.append(Entry { mark, ask }, out);
    }

    /// Whether this process is the tail and holds the lease under which readers are answered.
    pub fn serves_readers(&self, now: Time) -> bool {
        self.is_tail() && self.tail.holds(now)
    }

    pub(crate) fn advance(&mut self, now: Time, from: Mark, out: &mut Out) {
        if self.is_tail() && self.d.view.chain.len() >= self.copies {
            let v: Vec<Ask> = self
                .log
                .iter()
                .filter(|e| e.mark > from && e.mark <= self.synced)
                .map(|e| e.ask.clone())
                .collect();
            for a in &v {
                let question = a.question;
                let got = self.d.state.verdict(a);
                out.send
                    .extend(got.map(|verdict| (a.from, Msg::Outcome { question, verdict })));
            }
            if !v.is_empty() {
                self.subs.retain(|_, t| now < *t + 5000);
                let mark = self.synced;
                out.send
                    .extend(self.subs.keys().map(|a| (*a, Msg::Nudge { mark })));
            }
        }
        self.pred().into_iter().for_each(|p| {
            let (view, mark) = (self.d.view.n, self.synced);
            out.send.push((p.addr, Msg::Have { view, mark }));
        });
        self.forward(now, out);
    }

    pub(crate) fn forward(&mut self, now: Time, out: &mut Out) {
        if let Some(s) = self.succ().filter(|_| self.whole()) {
            let view = self.d.view.n;
            match self.after(self.succ_have) {
                Some(entries) => {
                    let prev = self.succ_have;
                    out.send.push((
                        s.addr,
                        Msg::Append {
                            view,
                            prev,
                            entries,
                        },
                    ));
                }
                None => self.send_frame(s.addr, out),
            }
            self.resend_at = now + CHAIN_AGAIN;
        }
    }

    pub(crate) fn send_frame(&mut self, to: Addr, out: &mut Out) {
        if self.whole() {
            out.late.push((
                to,
                Msg::Frame {
                    view: self.d.view.n,
                    state: self.d.state.clone(),
                },
            ));
        }
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
        self.subs.insert(addr, now);
        let quiet = self.synced == self.d.state.mark;
        let part = match self
            .after(have)
            .filter(|_| cluster == view.cluster && have <= self.synced)
        {
            Some(v) => Changes::Entries(v),
            None if quiet => Changes::Frame(Box::new(self.d.state.clone())),
            None => return,
        };
        let have = match &part {
            Changes::Entries(v) => v.last().map_or(have, |e| e.mark),
            Changes::Frame(s) => s.mark,
        };
        let large = part.large();
        let busy = self
            .under_way
            .get(&addr)
            .is_some_and(|(m, t)| *m >= have && now < *t);
        if large && busy {
            return;
        }
        if large {
            self.under_way.retain(|_, (_, t)| now < *t);
            self.under_way.insert(addr, (have, now + LARGE_AGAIN));
        }
        let seq = if have == self.synced { seq } else { 0 };
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
