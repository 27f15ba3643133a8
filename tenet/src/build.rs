use crate::base::*;
use crate::chain::Chain;
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::plant::{planted, Bug};

impl Chain {
    /// Members that the chain keeps when one of them stops as planned.
    pub(crate) fn chain_least(&self) -> usize {
        self.copies.max(2)
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
        if chain.len() >= go.len() + self.chain_least() {
            chain.retain(|s| !go.contains(&s.id));
        }
        let mut voters = v.voters.clone();
        let mut new = self.joiners(c);
        let in_chain = |id: NodeId| chain.iter().any(|s| s.id == id);
        let leaves = |s: &Seat| c.stops(s.id) && !in_chain(s.id) && !planted(Bug::VoteKept);
        let lost = |s: &Seat| {
            let silent = !self.agree.promises.contains_key(&s.id) && self.missing(s.id, now, c);
            leaves(s) || s.id != self.me.id && silent
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
        let idle: Vec<NodeId> = voters
            .iter()
            .filter(|s| leaves(s) || !in_chain(s.id) && self.gone_for_good(s.id, now, c))
            .map(|s| s.id)
            .take(2)
            .collect();
        if voters.len() >= VOTERS_LEAST + 2 && idle.len() == 2 {
            voters.retain(|s| !idle.contains(&s.id));
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
