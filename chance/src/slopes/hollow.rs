//! A hollow follower: it costs the others what a real one does and costs little itself.

use crate::slopes::scene::*;
use tenet::base::*;
use tenet::wire::{Changes, Msg};

/// A follower without its machine: it asks the tail, probes and answers at the real pace, and
/// its gossip carries as many colleagues as the real one's; it decides nothing.
pub struct Hollow {
    pub i: usize,
    pub have: Mark,
    seq: u32,
    turn: u64,
    ask_at: Time,
}

pub const GOSSIP: usize = 10;

impl Hollow {
    pub fn new(i: usize, have: Mark) -> Self {
        Hollow {
            i,
            have,
            seq: 0,
            turn: mix(i as u64),
            ask_at: 0,
        }
    }

    fn news(&mut self, sc: &Scene) -> Vec<tenet::wire::Summary> {
        let n = sc.all();
        self.turn = self.turn.wrapping_add(GOSSIP as u64);
        let others = (0..GOSSIP.min(n - 1)).map(|k| (self.turn as usize % n + k) % n);
        std::iter::once(self.i)
            .chain(others)
            .map(|i| sc.summary(i, self.have))
            .collect()
    }

    /// Due each 200 ms; the tail is asked each 250 ms.
    pub fn tick(&mut self, now: Time, sc: &Scene) -> Vec<(Addr, Msg)> {
        let mut v = Vec::new();
        if now >= self.ask_at {
            self.ask_at = now.max(self.ask_at + REFRESH);
            self.seq += 1;
            v.push((
                seat(VOTERS - 1).addr,
                Msg::Refresh {
                    seq: self.seq as u64,
                    have: self.have,
                    cluster: 7,
                },
            ));
        }
        if now % PROBE_ROUND < 50 {
            for _ in 0..2 {
                self.seq += 1;
                let news = self.news(sc);
                let to = mix(self.seq as u64 ^ mix(self.i as u64)) as usize % sc.all();
                v.push((
                    seat(to).addr,
                    Msg::Probe {
                        seq: self.seq,
                        news,
                    },
                ));
            }
        }
        v
    }

    pub fn take(&mut self, from: Addr, m: &Msg, sc: &Scene) -> Option<(Addr, Msg)> {
        match m {
            Msg::Probe { seq, .. } => Some((
                from,
                Msg::ProbeAck {
                    seq: *seq,
                    news: self.news(sc),
                },
            )),
            Msg::Nudge { mark } if *mark > self.have => {
                self.ask_at = 0;
                None
            }
            Msg::Fresh { have, part, .. } => {
                self.have = match part {
                    Changes::Snapshot(id) => id.index,
                    _ => self.have.max(*have),
                };
                None
            }
            _ => None,
        }
    }
}
