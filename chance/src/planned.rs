use crate::sim::*;
use tenet::control::In;
use tenet::drain::Drain;
use tenet::front::FrontIn;

impl Sim {
    pub(crate) fn stop(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        if !n.up || n.drain.is_some() {
            return;
        }
        n.drain = Some(Drain::new(n.local(self.now)));
        let (life, now) = (n.life, self.now);
        self.control(i, life, In::Stopping);
        self.front(i, life, FrontIn::Stopping);
        self.at(now + 50, Ev::Drain(i, life));
    }

    pub(crate) fn draining(&mut self, i: usize, life: u32) {
        let n = &self.nodes[i];
        if n.life != life || !n.up {
            return;
        }
        if n.frozen {
            return self.at(self.now + 50, Ev::Drain(i, life));
        }
        let busy = self.calls.values().filter(|c| c.1 == i && c.2 == life).count();
        let f = n.front.as_ref();
        let (empty, drained) = (f.is_none_or(|f| f.empty()), f.is_none_or(|f| f.drained()) && n.control.as_ref().is_none_or(|c| c.left()));
        let done = n.drain.as_ref().is_some_and(|d| d.done(n.local(self.now), empty, drained, busy));
        if !done {
            return self.at(self.now + 50, Ev::Drain(i, life));
        }
        if busy > 0 && self.nodes[i].thawed + 5000 < self.now {
            self.watch.faults.push(format!("cut: the planned stop of node {i} cut off {busy} answers"));
        }
        self.kill(i);
    }
}
