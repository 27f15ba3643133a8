//! Who does not answer: suspected, told of it, and given up by those that probed in vain.

use crate::base::*;
use crate::colleagues::*;
use crate::wire::Msg;

impl Colleagues {
    /// This process stops. Those that place work hear it at once, the others by gossip.
    pub(crate) fn stop(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        self.me.stopping = true;
        self.me.life += 1;
        self.spread();
        let placing: Vec<(NodeId, Addr)> = self
            .live()
            .filter(|s| s.disk)
            .map(|s| (s.id, s.addr))
            .collect();
        for (id, addr) in placing {
            self.probe(now, id, addr, send);
        }
    }

    /// While this process did not run, answers could not be taken: that is no silence of the others.
    pub(crate) fn excuse_own_pause(&mut self, now: Time) {
        let gap = now.saturating_sub(self.ticked.max(1));
        if self.ticked > 0 && gap > CONTACT_PAUSE {
            self.health.worsen();
            self.open.iter_mut().for_each(|open| open.at += gap);
            let suspects = self.all.values_mut().filter(|c| c.s.status == SUSPECT);
            suspects.for_each(|c| c.since += gap);
        }
        self.ticked = now;
    }

    /// Tells those whom this process suspects, so that they can refute.
    pub(crate) fn tell_suspects(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        let witnessed = |c: &&Colleague| c.s.status == SUSPECT && c.witnessed;
        let suspects: Vec<(NodeId, Addr)> = self
            .all
            .values()
            .filter(witnessed)
            .map(|c| (c.s.id, c.s.addr))
            .take(SUSPECTS_TOLD)
            .collect();
        for (id, addr) in suspects {
            self.probe(now, id, addr, send);
            // Helpers were asked when the suspicion began.
            self.open
                .last_mut()
                .into_iter()
                .for_each(|o| (o.helped, o.tells) = (true, true));
        }
    }

    pub(crate) fn expire(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        self.relay.retain(|r| now < r.4 + 1000);
        let direct = self.health.stretched(PROBE_DIRECT);
        let indirect = self.health.stretched(PROBE_DIRECT + PROBE_INDIRECT);
        let mut i = 0;
        while i < self.open.len() {
            let (id, at, helped, tells) = {
                let o = &self.open[i];
                (o.id, o.at, o.helped, o.tells)
            };
            let gone = self.all.get(&id).is_none_or(|c| c.s.status == GONE);
            if !helped && now >= at + direct && !gone {
                self.ask_helpers(i, send);
            }
            if now >= at + indirect {
                self.open.swap_remove(i);
                if !tells {
                    self.unanswered(id, now);
                }
            } else {
                i += 1;
            }
        }
        self.give_up_suspects(now, send);
        self.all
            .retain(|_, c| c.s.status != GONE || now < c.since + FORGET);
    }

    /// Has others probe who did not answer this process.
    fn ask_helpers(&mut self, open: usize, send: &mut Vec<(Addr, Msg)>) {
        self.open[open].helped = true;
        let (id, target, seq) = {
            let o = &self.open[open];
            (o.id, o.addr, o.seq)
        };
        if let Some(peer) = self.all.get_mut(&id) {
            peer.missed = true;
        }
        for (to, via) in self.helpers(id) {
            let news = self.news();
            let message = match self.all.get(&via).is_some_and(|c| c.wire >= 2) {
                true => Msg::ProbeOf {
                    seq,
                    target,
                    id,
                    news,
                },
                false => Msg::ProbeFor { seq, target, news },
            };
            send.push((to, message));
        }
    }

    /// A probe went unanswered, also through helpers.
    fn unanswered(&mut self, id: NodeId, now: Time) {
        let started = *self.started.get_or_insert(now);
        let Some(peer) = self.all.get_mut(&id) else {
            return;
        };
        let settled = now >= started.max(peer.first_seen) + PROBE_SETTLE;
        let (status, stopping) = (peer.s.status, peer.s.stopping);
        if status == SUSPECT && !peer.witnessed {
            (peer.witnessed, peer.since) = (true, now);
        }
        if status == ALIVE && stopping {
            self.turn(id, "silent", "it was stopping and answers no more", now);
            self.turn(id, "silent", "it was stopping and answers no more", now);
        } else if status == ALIVE && settled {
            self.health.worsen();
            self.turn(id, "silent", "no answer, nor through third parties", now);
        }
    }

    /// How long a suspect has to refute: what news takes to reach everybody grows with the logarithm of
    /// their number.
    fn suspicion(&self) -> Time {
        let doublings = (self.all.len() / SUSPICION_FLEET + 1).ilog2();
        self.health
            .stretched(SUSPICION + SUSPICION_DOUBLING * Time::from(doublings))
    }

    /// Gives up those that did not refute. Who was only told of a suspicion waits for the verdict of those
    /// who probed; if none comes, it probes itself.
    fn give_up_suspects(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        let own = self.suspicion();
        let late = |c: &Colleague| {
            let span = if c.witnessed {
                own
            } else {
                own + SUSPICION_TOLD
            };
            c.s.status == SUSPECT && now >= c.since + span
        };
        let late: Vec<(NodeId, Addr, bool)> = self
            .all
            .iter()
            .filter(|(_, c)| late(c))
            .map(|(id, c)| (*id, c.s.addr, c.witnessed))
            .collect();
        for (id, addr, witnessed) in late {
            if witnessed {
                self.turn(id, "silent", "suspicion was not refuted", now);
            } else if !self.open.iter().any(|o| o.id == id) {
                self.probe(now, id, addr, send);
            }
        }
    }
}
