//! Whom this process reaches itself, and through whom it reaches others.

use crate::base::*;
use crate::colleagues::*;
use crate::wire::{Msg, Summary};

impl Colleagues {
    /// Someone who may carry a packet to `to`, which this process does not reach itself.
    pub fn relay_to(&self, to: Addr) -> Option<Addr> {
        let t = self
            .all
            .values()
            .find(|c| c.s.addr == to && !c.direct && c.s.status != GONE)?;
        let fit = |c: &&Colleague| {
            c.direct
                && !c.missed
                && c.s.status == ALIVE
                && c.s.domain != t.s.domain
                && c.s.id != t.s.id
        };
        let far = |c: &&Colleague| c.s.domain != self.me.domain;
        let v: Vec<&Colleague> = self.all.values().filter(fit).collect();
        let far: Vec<&Colleague> = v.into_iter().filter(far).collect();
        far.get(self.seq as usize % far.len().max(1))
            .map(|c| c.s.addr)
    }

    /// One of those that this process does not reach itself, to see whether it does again.
    pub(crate) fn one_apart(&self) -> Option<(NodeId, Addr)> {
        let apart: Vec<&Colleague> = self
            .all
            .values()
            .filter(|c| !c.direct && c.s.status == ALIVE)
            .collect();
        let turn = self.seq as usize % apart.len().max(1);
        apart.get(turn).map(|c| (c.s.id, c.s.addr))
    }

    /// What is at `to` does not reach this process itself, for it had something relayed.
    pub fn apart(&mut self, to: Addr) {
        self.all
            .values_mut()
            .filter(|c| c.s.addr == to)
            .for_each(|c| c.direct = false);
    }

    /// Something that was due from `to` did not come: finds out whether the link is cut or it is only slow.
    pub fn check(&mut self, now: Time, to: Addr, send: &mut Vec<(Addr, Msg)>) {
        let peer = self.all.values().find(|c| c.s.addr == to);
        let id = peer.filter(|c| c.direct).map(|c| c.s.id);
        if let Some(id) = id.filter(|id| !self.open.iter().any(|o| o.id == *id)) {
            self.probe(now, id, to, send);
        }
    }

    /// Up to three others to probe through: those that are reached without help first, no two of one
    /// zone while there are more zones, and none on the machine of either end while there are others,
    /// since what cuts a process off cuts off all of its machine.
    pub fn helpers(&self, id: NodeId) -> Vec<(Addr, NodeId)> {
        let target = self.all.get(&id).map(|c| c.s.addr.ip);
        let on_either_end = |s: &Summary| s.addr.ip == self.me.addr.ip || Some(s.addr.ip) == target;
        let mut others: Vec<&Summary> = self.live().filter(|s| s.id != id).collect();
        if others.iter().any(|s| !on_either_end(s)) {
            others.retain(|s| !on_either_end(s));
        }
        let count = others.len().max(1);
        others.rotate_left(self.seq as usize % count);
        others.sort_by_key(|s| !self.all.get(&s.id).is_some_and(|c| c.direct && !c.missed));
        let zone_rank = |i: usize| {
            let before = others[..i].iter();
            before.filter(|s| s.domain == others[i].domain).count()
        };
        let mut order: Vec<(usize, usize)> = (0..others.len()).map(|i| (zone_rank(i), i)).collect();
        order.sort_unstable();
        order
            .into_iter()
            .take(PROBE_HELPERS)
            .map(|(_, i)| (others[i].addr, others[i].id))
            .collect()
    }
}
