//! Founding of a fleet and adoption of views. Each founder pledges one set of machines, once, on disk; the fleet
//! stands when all pledges are equal. A view is adopted only if it is newer and of the same cluster.

use crate::agreement::Agreement;
use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::lease::TailLease;
use crate::membership::seats;
use crate::plant::{planted, Bug};
use crate::wire::Msg;

impl Chain {
    /// Looks for a fleet to join, and founds one where that is allowed: pledges a set of machines once, on
    /// disk.
    pub fn found_tick(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + 250;
        let known: Vec<(Mark, Addr)> = c
            .live()
            .filter(|s| s.view > 0)
            .map(|s| (s.view, s.addr))
            .collect();
        if let Some((_, a)) = known.iter().max() {
            out.send.push((*a, Msg::ViewAsk));
            return;
        }
        let named = |s: &Seat| self.founders.is_empty() || self.founders.contains(&s.addr);
        let need = if self.founders.is_empty() {
            3
        } else {
            self.founders.len()
        };
        let mut set: Vec<Seat> = c
            .live()
            .filter(|s| s.disk)
            .map(|s| Seat {
                id: s.id,
                addr: s.addr,
            })
            .collect();
        set.push(self.me);
        set.retain(named);
        set.sort();
        let all = set.len() == need && set.len() >= self.copies && named(&self.me);
        if self.d.pledge.is_empty() && self.found && all && now > 1000 {
            self.keep(Rec::Pledge(set), out);
        }
        if !self.d.pledge.is_empty() {
            let set = self.d.pledge.clone();
            self.pledges.insert(self.me.id, set.clone());
            let me = self.me.id;
            out.late.extend(
                set.iter()
                    .filter(|s| s.id != me)
                    .map(|s| (s.addr, Msg::Pledge { set: set.clone() })),
            );
        }
    }

    pub(crate) fn pledged(&mut self, now: Time, from: NodeId, set: Vec<Seat>, out: &mut Out) {
        if self.d.view.n > 0 {
            let view = self.d.view.clone();
            let a = set.iter().find(|s| s.id == from).map(|s| s.addr);
            out.send.extend(a.map(|a| (a, Msg::ViewIs { view })));
            return;
        }
        self.pledges.insert(from, set);
        let mine = self.d.pledge.clone();
        let all = mine.len() >= self.copies
            && mine.iter().all(|s| self.pledges.get(&s.id) == Some(&mine));
        if all {
            let cluster = mine.iter().fold(7, |h, s| mix(h ^ s.id)) | 1;
            let view = View::in_sync(1, cluster, mine.clone(), mine);
            self.adopt(now, view, out);
        }
    }

    /// Adopts a newer view of this cluster. It stays in sync only if it was, and if nobody stands before it
    /// who did not before; else it reads a snapshot from its predecessor. The head of a view that confirms nothing is in
    /// sync as a holder of the last one that does, too: nothing was acknowledged since.
    pub fn adopt(&mut self, now: Time, view: View, out: &mut Out) {
        let old = &self.d.view;
        if view.n <= old.n || (old.cluster != 0 && old.cluster != view.cluster) {
            return;
        }
        let was = self.whole();
        if was && old.confirms() {
            let confirmed = self.confirmed();
            self.learn_confirmed(confirmed);
        }
        let old = &self.d.view;
        let seat = |v: &[Seat], id: NodeId| v.iter().position(|s| s.id == id);
        let mine = seat(&old.chain, self.me.id);
        let place = seat(&view.chain, self.me.id);
        let inside = place.is_some();
        let kept = place.is_some_and(|i| {
            view.chain[..i]
                .iter()
                .all(|s| seat(&old.chain, s.id).is_some_and(|p| Some(p) < mine))
        });
        let founding = view.n == 1 && self.d.pledge == view.chain;
        let stays = was && kept && view.n == old.n + 1;
        let restarts = place == Some(0) && !view.confirms() && view.is_holder(self.me.id);
        let in_sync = founding || stays || restarts || planted(Bug::JoinerInSync);
        let whole = match inside && in_sync {
            true => view.n,
            false => 0,
        };
        let t = format!(
            "view {}: chain {}, voters {}",
            view.n,
            seats(&view.chain),
            seats(&view.voters)
        );
        out.stories.push(("view".into(), t));
        let left: Vec<NodeId> = old
            .chain
            .iter()
            .map(|s| s.id)
            .filter(|id| seat(&view.chain, *id).is_none())
            .collect();
        left.into_iter()
            .for_each(|id| self.contacts.set_back(id, now));
        let hold = if view.confirms() { VIEW_HOLD } else { 0 };
        self.keep(Rec::View { view, whole }, out);
        self.agree = Agreement {
            next: now + hold,
            ..Agreement::default()
        };
        self.tail = TailLease {
            granted: self.tail.granted,
            seq: self.tail.seq,
            ..TailLease::new(now)
        };
        self.adopted(now);
    }
}
