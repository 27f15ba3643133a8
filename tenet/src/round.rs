//! What a node does at the end of each step: its timers, its placements, its table, its messages.

use crate::base::*;
use crate::chain::Out;
use crate::control::*;
use crate::wire::*;

impl Control {
    pub(crate) fn finish(&mut self, now: Time, mut out: Out, e: &mut Effect) {
        let mut wake = self.c.tick(now, &mut out.send);
        if let Some(c) = self.chain.as_mut() {
            c.learn_confirmed(self.f.state.mark);
            wake = wake.min(c.tick(now, &self.c, &mut out));
            self.c.me.view = c.d.view.n;
            self.f.learn(&c.d.view);
        }
        self.f.tick(now, &mut self.c, &mut out.send);
        self.resend(now, &mut out, e);
        self.enrol(now, &mut out);
        if now >= self.pilot_at {
            self.pilot_at = now + 50;
            e.promote = self.pilot(now, &mut out);
        }
        let told = std::mem::take(&mut self.c.stories)
            .into_iter()
            .chain(std::mem::take(&mut out.stories));
        for (topic, t) in told {
            self.stale = true;
            e.log.push(t.clone());
            self.why.tell(now, &topic, t);
        }
        if self.stale || now >= self.table_at {
            self.table_at = now + 250;
            self.publish(now, e);
        }
        if let Some(c) = self.chain.as_mut() {
            e.write = c.seq(&mut out).map(|s| (s, std::mem::take(&mut out.write)));
            c.settled(&mut out);
        }
        let (from, addr, cluster) = (self.me.id, self.me.addr, self.f.view.cluster);
        let mut own = Vec::new();
        for (to, msg) in out.send {
            if form(&msg) > self.c.wire {
                continue;
            }
            let p = Packet {
                from,
                addr,
                cluster,
                msg,
            };
            match to == addr {
                true => own.push(p),
                false => e.send.push(self.by_relay(to, p)),
            }
        }
        e.wakeup = wake.min(now + 50).max(now + 1);
        for p in own {
            let mut x = self.poll(now, In::Packet(p));
            e.send.append(&mut x.send);
            e.response.append(&mut x.response);
            e.promote.append(&mut x.promote);
            e.log.append(&mut x.log);
            e.news = x.news.or(e.news.take());
            if let Some((s, mut v)) = x.write {
                let mut w = e.write.take().map_or(Vec::new(), |(_, w)| w);
                w.append(&mut v);
                e.write = Some((s, w));
            }
        }
    }
}
