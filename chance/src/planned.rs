use crate::fault::Fault;
use crate::sim::*;
use guise::check::Off;
use tenet::state::Op;
use tenet::control::In;
use tenet::drain::Drain;
use tenet::front::FrontIn;

impl Sim {
    pub(crate) fn evacuate(&mut self, domain: String, on: bool) {
        let call = self.operator(Op::Evacuate { domain: domain.clone(), on });
        self.watch.evac_calls.insert(call, (domain, on));
    }

    pub(crate) fn evacuation_told(&mut self, call: u64, accepted: bool) {
        let Some((d, on)) = self.watch.evac_calls.remove(&call) else { return };
        if !accepted {
            let at = self.now + 200;
            return self.at(at, Ev::Fault(Fault::Evacuate(d, on)));
        }
        let since = self.now;
        let v: Vec<String> = self.world.servers.iter().filter(|s| s.domain == d).map(|s| s.name.clone()).collect();
        match on {
            true => self.history.off.extend(v.into_iter().map(|server| Off { server, since, until: u64::MAX, bound: 5000 })),
            false => self.history.off.iter_mut().filter(|o| v.contains(&o.server) && o.bound == 5000).for_each(|o| o.until = o.until.min(since)),
        }
    }

    pub(crate) fn stays(&mut self, s: usize) {
        let (n, now) = (self.world.servers[s].name.clone(), self.now);
        self.history.off.iter_mut().filter(|o| o.server == n && o.bound == 7000).for_each(|o| o.until = o.until.min(now));
    }

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
