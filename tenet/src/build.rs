use crate::base::*;
use crate::chain::Chain;
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::wire::Summary;

impl Chain {
    /// Disks of this cluster that do not vote.
    pub fn joiners(&self, c: &Colleagues) -> Vec<Seat> {
        let votes = |id: NodeId| self.d.view.voters.iter().any(|v| v.id == id);
        let fit = |s: &&Summary| s.disk && s.view > 0 && !s.stopping && !votes(s.id);
        let mut v: Vec<Seat> = c
            .live()
            .filter(fit)
            .map(|s| Seat {
                id: s.id,
                addr: s.addr,
            })
            .collect();
        v.sort();
        v
    }

    pub(crate) fn build(&self, now: Time, c: &Colleagues) -> Option<View> {
        let v = &self.d.view;
        let best = self
            .agree
            .promises
            .values()
            .filter(|p| p.1 > 0)
            .max_by_key(|p| p.1);
        if let Some(x) = best.and_then(|p| p.2.clone()) {
            return Some(x);
        }
        let whole = |s: &&Seat| self.agree.promises.get(&s.id).is_some_and(|p| p.0 == v.n);
        let mut chain: Vec<Seat> = v.chain.iter().filter(whole).copied().collect();
        if chain.is_empty() {
            return None;
        }
        if self.stuck(now) {
            if let Some(i) = self
                .succ()
                .and_then(|n| chain.iter().position(|s| s.id == n.id))
            {
                let last = chain.remove(i);
                chain.push(last);
            }
        }
        let go: Vec<NodeId> = chain
            .iter()
            .map(|s| s.id)
            .filter(|id| c.stops(*id))
            .collect();
        if chain.len() >= go.len() + 2 {
            chain.retain(|s| !go.contains(&s.id));
        }
        let mut voters = v.voters.clone();
        let mut new = self.joiners(c);
        let lost = |s: &Seat| {
            s.id != self.me.id
                && !self.agree.promises.contains_key(&s.id)
                && self.missing(s.id, now, c)
        };
        for s in &new {
            if let Some(i) = voters.iter().position(lost) {
                voters[i] = *s;
            }
        }
        new.retain(|s| !voters.iter().any(|t| t.id == s.id));
        if voters.len() + 2 <= VOTERS_MOST && new.len() >= 2 {
            voters.extend(&new[..2]);
        }
        let add: Vec<Seat> = voters
            .iter()
            .filter(|s| c.alive(s.id) && !c.stops(s.id) && !chain.iter().any(|t| t.id == s.id))
            .copied()
            .collect();
        chain.extend(add);
        chain
            .iter_mut()
            .chain(voters.iter_mut())
            .for_each(|s| s.addr = self.now_at(s, c));
        Some(View {
            n: v.n + 1,
            cluster: v.cluster,
            voters,
            chain,
        })
    }
}
