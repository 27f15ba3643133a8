//! Which nodes that were sent work still answer: an echo is asked for, a silent one is passed by, and what is under
//! way at a lost one ends.

use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::ledger::{End, To};
use crate::wire::Msg;
use std::collections::{BTreeMap, BTreeSet};

/// Whether the nodes that this one sends work to still answer it. Gossip tells who is alive for
/// the fleet; this tells whom this node reaches itself.
#[derive(Default)]
pub struct Peers {
    all: BTreeMap<NodeId, Peer>,
    pub silent: BTreeSet<NodeId>,
}

struct Peer {
    addr: Addr,
    since: Time,
    asked: Time,
    ended: bool,
}

impl Peers {
    pub fn sent(&mut self, now: Time, id: NodeId, addr: Addr) {
        let p = self.all.entry(id).or_insert(Peer {
            addr,
            since: 0,
            asked: 0,
            ended: false,
        });
        p.addr = addr;
        if p.since == 0 {
            p.since = now;
        }
    }

    pub fn heard(&mut self, id: NodeId) {
        self.all.remove(&id);
        self.silent.remove(&id);
    }

    /// Whom to ask for a sign now, and who was silent too long for what is under way there.
    pub fn tick(&mut self, now: Time) -> (Vec<Addr>, Vec<NodeId>) {
        let (mut ask, mut lost) = (Vec::new(), Vec::new());
        for (id, p) in self.all.iter_mut() {
            if now >= p.since + PEER_ASK && now >= p.asked + PEER_ASK {
                p.asked = now;
                ask.push(p.addr);
            }
            if now >= p.since + PEER_SILENT {
                self.silent.insert(*id);
            }
            if now >= p.since + PEER_LOST && !p.ended {
                p.ended = true;
                lost.push(*id);
            }
        }
        (ask, lost)
    }

    pub fn keep(&mut self, known: impl Fn(&NodeId) -> bool) {
        self.all.retain(|id, _| known(id));
        self.silent.retain(|id| known(id));
    }
}

impl Front {
    pub(crate) fn peers_tick(&mut self, now: Time, out: &mut FrontOut) {
        let (ask, lost) = self.peers.tick(now);
        out.send
            .extend(ask.into_iter().map(|a| (a, Msg::Echo { reply: false })));
        for id in lost {
            out.log.push(format!(
                "{id:x} answers nothing, what is under way there is given up"
            ));
            self.peer_lost(now, id, out);
        }
    }

    fn peer_lost(&mut self, now: Time, id: NodeId, out: &mut FrontOut) {
        let gone: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, r)| r.to == id)
            .map(|(k, _)| *k)
            .collect();
        for k in gone {
            if let Some(r) = self.relays.remove(&k) {
                let done = Err(Reject::new(Kind::Unknown, "the next hop fell silent"));
                out.send.push(r.asker.reply(now, done));
            }
        }
        let open = |t: &crate::trip::Trip| {
            t.gos
                .last()
                .is_some_and(|g| g.end == End::Open && g.to == To::Gateway(id))
        };
        let v: Vec<usize> = self
            .trips
            .iter()
            .filter(|(_, t)| open(t))
            .map(|(i, _)| i)
            .collect();
        for i in v {
            if self.trips.contains(i) && open(&self.trips[i]) {
                let n = self.trips[i].gos.len();
                self.go_end(
                    now,
                    i,
                    n,
                    End::Lost,
                    format!("gateway {id:x} fell silent"),
                    out,
                );
            }
        }
    }
}
