//! Who is alive, as the processes of the fleet tell each other (SWIM with the additions of Lifeguard).
//!
//! A process that does not answer a probe, neither directly nor through others, becomes a suspect.
//! Only who probed it in vain lets the suspicion run out; others wait for that verdict. Until then
//! the suspect is told at each round, so that one that runs refutes with a higher life.

use crate::base::*;
use crate::chart;
use crate::local_health::LocalHealth;
use crate::wire::Summary;
use std::collections::{BTreeMap, VecDeque};

/// It answers probes.
pub const ALIVE: u8 = 0;
/// It did not answer, and may refute.
pub const SUSPECT: u8 = 1;
/// It was given up.
pub const GONE: u8 = 2;
pub(crate) const NAMES: [&str; 3] = ["alive", "suspect", "gone"];

const NEWS: usize = 10;
const FILL: usize = 3;
const FILL_EACH: u32 = 8;

/// What this process knows of another one.
pub struct Colleague {
    /// What was last heard that it says of itself, and its status.
    pub s: Summary,
    /// Since when it has its status (ms).
    pub since: Time,
    /// When this process last heard of it.
    pub heard: Time,
    /// Why it has its status.
    pub why: String,
    /// The newest wire form that it reads.
    pub wire: u8,
    /// This process reaches it without help.
    pub direct: bool,
    /// It let a probe of this process wait, and answered none since.
    pub(crate) missed: bool,
    /// This process probed it in vain since it became a suspect.
    pub(crate) witnessed: bool,
    /// When this process first learnt of it.
    pub(crate) first_seen: Time,
}

pub(crate) struct Open {
    pub seq: u32,
    pub id: NodeId,
    pub addr: Addr,
    pub at: Time,
    pub helped: bool,
    /// It only tells a suspect of the suspicion: its silence accuses nobody.
    pub(crate) tells: bool,
}

/// The other processes of the fleet, as this one knows them. It proposes who is alive; nothing safe rests on
/// it.
pub struct Colleagues {
    /// What this process says of itself.
    pub me: Summary,
    /// The newest wire form that this process reads.
    pub wire: u8,
    /// The others by id, with those that were given up a while ago.
    pub all: BTreeMap<NodeId, Colleague>,
    pub(crate) seeds: Vec<Addr>,
    pub(crate) open: Vec<Open>,
    pub(crate) relay: Vec<(u32, Addr, u32, NodeId, Time)>,
    pub(crate) fresh: VecDeque<(NodeId, u8)>,
    pub(crate) cursor: NodeId,
    pub(crate) disk_cursor: NodeId,
    news_cursor: NodeId,
    pub(crate) seq: u32,
    pub(crate) next: Time,
    pub(crate) seeds_next: Time,
    pub(crate) seeds_wait: Time,
    pub(crate) health: LocalHealth,
    /// When this process first ran a round, and when it last did.
    pub(crate) started: Option<Time>,
    pub(crate) ticked: Time,
    /// Audit events, by topic, that the caller takes out.
    pub stories: Vec<(String, String)>,
}

impl Colleagues {
    /// Knows nobody yet; `seeds` are asked first.
    pub fn new(me: Summary, seeds: Vec<Addr>, wire: u8) -> Self {
        let me_id = me.id;
        Colleagues {
            me,
            wire,
            all: BTreeMap::new(),
            seeds,
            open: Vec::new(),
            relay: Vec::new(),
            fresh: VecDeque::new(),
            cursor: me_id,
            disk_cursor: 0,
            news_cursor: 0,
            seq: 0,
            next: 0,
            seeds_next: 0,
            seeds_wait: 0,
            health: LocalHealth::default(),
            started: None,
            ticked: 0,
            stories: Vec::new(),
        }
    }

    /// Whether a process, or this one, is not suspected.
    pub fn alive(&self, id: NodeId) -> bool {
        id == self.me.id || self.all.get(&id).is_some_and(|c| c.s.status == ALIVE)
    }

    /// Whether another process is alive and not stopping.
    pub fn serves(&self, id: NodeId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|c| c.s.status == ALIVE && !c.s.stopping)
    }

    /// Whether a process says that it is stopping.
    pub fn stops(&self, id: NodeId) -> bool {
        match id == self.me.id {
            true => self.me.stopping,
            false => self.all.get(&id).is_some_and(|c| c.s.stopping),
        }
    }

    /// Whether it is suspected.
    pub fn suspect(&self, id: NodeId) -> bool {
        self.all.get(&id).is_some_and(|c| c.s.status == SUSPECT)
    }

    /// For how long (ms) it has not been alive; none while it is.
    pub fn quiet(&self, id: NodeId, now: Time) -> Option<Time> {
        self.all
            .get(&id)
            .filter(|c| c.s.status != ALIVE)
            .map(|c| now.saturating_sub(c.since))
    }

    /// The others that are alive.
    pub fn live(&self) -> impl Iterator<Item = &Summary> {
        self.all
            .values()
            .map(|c| &c.s)
            .filter(|s| s.status == ALIVE)
    }

    /// Sends the next round of probes at once, as there is news.
    pub fn spread(&mut self) {
        self.next = 0;
    }

    pub(crate) fn news(&mut self) -> Vec<Summary> {
        let mut v = vec![self.me.clone()];
        for _ in 0..self.fresh.len().min(NEWS) {
            if let Some((id, n)) = self.fresh.pop_front() {
                v.extend(self.all.get(&id).map(|c| c.s.clone()));
                if n > 1 {
                    self.fresh.push_back((id, n - 1));
                }
            }
        }
        let from = self.news_cursor;
        for (id, c) in self.all.range(from + 1..).chain(self.all.range(..=from)) {
            if v.len() >= FILL || !self.seq.is_multiple_of(FILL_EACH) {
                break;
            }
            self.news_cursor = *id;
            if !v.iter().any(|s| s.id == *id) {
                v.push(c.s.clone());
            }
        }
        v
    }

    /// What to tell `id`: what is new, and first of all that it is suspected or given up, if it is.
    pub(crate) fn news_for(&mut self, id: NodeId) -> Vec<Summary> {
        let mut news = self.news();
        let accused = self.all.get(&id).filter(|c| c.s.status != ALIVE);
        if let Some(c) = accused {
            news.retain(|s| s.id != id);
            news.insert(1, c.s.clone());
        }
        news
    }

    pub(crate) fn turn(&mut self, id: NodeId, event: &str, why: &str, now: Time) {
        let me = format!("{:x}", self.me.id);
        if let Some(c) = self.all.get_mut(&id) {
            let to = chart::colleague().step(NAMES[c.s.status as usize], event);
            let to = to
                .and_then(|t| NAMES.iter().position(|n| *n == t))
                .unwrap_or(c.s.status as usize) as u8;
            if to != c.s.status {
                c.s.status = to;
                c.since = now;
                c.witnessed = to == SUSPECT;
                c.why = why.into();
                let t = format!(
                    "{:x} at {} is {}: {why}, seen by {me}",
                    id, c.s.addr, NAMES[to as usize]
                );
                self.stories.push((format!("{id:x}"), t));
                self.fresh.push_back((id, 8));
            }
        }
    }
}
