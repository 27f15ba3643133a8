//! One simulated machine: its process, disk, clock drift and writes under way. A start recovers from the bytes that
//! the disk holds, through the same format as a real one.

use crate::platter::{micros, Platter};
use tenet::base::*;
use tenet::control::*;
use tenet::disk::*;
use tenet::drain::Drain;
use tenet::front::Front;

/// The simulated disk took no more bytes.
#[derive(Debug)]
pub struct DiskFull;

pub struct Node {
    pub i: usize,
    pub addr: Addr,
    pub domain: String,
    pub disk: bool,
    pub up: bool,
    pub frozen: bool,
    pub life: u32,
    pub control: Option<Control>,
    pub front: Option<Front>,
    pub platter: Platter,
    pub shelf: Option<Shelf>,
    pub durable: Durable,
    pub writing: Vec<(u64, Vec<Rec>)>,
    pub disk_free: Time,
    pub sync_ms: Time,
    pub drift: i64,
    pub start: Time,
    pub wake_c: Time,
    pub wake_f: Time,
    pub mark: Mark,
    pub syncs: u64,
    pub thawed: Time,
    pub wire: u8,
    pub drain: Option<Drain>,
    pub logs: Vec<(Time, String)>,
    /// How far its time of day is ahead, as a process sees it that starts.
    pub wall_ahead: u64,
    /// Gone for good: it does not start again.
    pub removed: bool,
    /// Started later than the fleet, if at all.
    pub spare: bool,
    /// Synced copies that an acknowledged change needs.
    pub copies: usize,
}

impl Node {
    /// A machine that is not yet started.
    pub fn new(i: usize, addr: Addr, domain: String, disk: bool, sync_ms: Time) -> Node {
        Node {
            i,
            addr,
            domain,
            disk,
            up: false,
            frozen: false,
            life: 0,
            control: None,
            front: None,
            platter: Default::default(),
            shelf: None,
            durable: Default::default(),
            writing: Vec::new(),
            disk_free: 0,
            sync_ms,
            drift: 0,
            start: 0,
            wake_c: 0,
            wake_f: 0,
            mark: 0,
            syncs: 0,
            thawed: 0,
            wire: tenet::wire::WIRE,
            drain: None,
            logs: Vec::new(),
            wall_ahead: 0,
            removed: false,
            spare: false,
            copies: 2,
        }
    }

    pub fn local(&self, t: Time) -> Time {
        let d = t.saturating_sub(self.start) as i64;
        (d + d * self.drift / 1000) as Time + 1
    }

    pub fn global(&self, l: Time) -> Time {
        let d = l.saturating_sub(1) as i64;
        self.start + (d * 1000 / (1000 + self.drift)) as Time + 1
    }

    pub fn boot(&mut self, t: Time, seeds: Vec<Addr>, seed: u64) -> Result<Option<Effect>, String> {
        self.up = true;
        self.frozen = false;
        self.drain = None;
        self.start = t;
        self.life += 1;
        self.disk_free = t;
        self.writing.clear();
        self.mark = 0;
        let mut durable = None;
        if self.disk {
            let f = |n: &str| self.platter.files.get(n).cloned().unwrap_or_default();
            let (s, l) = ([f(SLOTS[0]), f(SLOTS[1])], [f(LOGS[0]), f(LOGS[1])]);
            let (shelf, d) = Shelf::recover([&s[0], &s[1]], [&l[0], &l[1]])?;
            self.shelf = Some(shelf);
            durable = d.filter(|d| d.id != 0);
            self.durable = durable.clone().unwrap_or_default();
            let d = self.durable.clone();
            let ops = self.shelf.as_mut().map(|s| s.fresh(&d)).unwrap_or_default();
            if !self.platter.run(ops) {
                self.up = false;
                return Ok(None);
            }
        }
        let start = Start {
            addr: self.addr,
            http: self.addr,
            domain: self.domain.clone(),
            disk: self.disk,
            seeds,
            found: true,
            founders: vec![],
            copies: self.copies,
            durable,
            seed: mix(seed ^ mix(self.i as u64 * 1000 + self.life as u64)),
            wall: 1_000_000 + t + self.wall_ahead,
            wire: self.wire,
        };
        let (c, e) = Control::new(start, 1);
        self.front = (!self.disk).then(|| {
            Front::new(
                c.me.id,
                self.addr,
                mix(seed ^ mix(self.i as u64 * 1000 + self.life as u64) ^ 5),
            )
        });
        self.control = Some(c);
        Ok(Some(e))
    }

    pub fn synced(&mut self, seq: u64) -> Result<bool, DiskFull> {
        let Some(p) = self.writing.iter().position(|w| w.0 == seq) else {
            return Ok(false);
        };
        let v: Vec<Rec> = self.writing.drain(..=p).flat_map(|w| w.1).collect();
        let ops = self.ops(&v);
        self.syncs += ops.len() as u64;
        self.platter.run(ops).then_some(true).ok_or(DiskFull)
    }

    fn ops(&mut self, v: &[Rec]) -> Vec<FileOp> {
        v.iter().for_each(|r| {
            self.durable.play(r);
        });
        let d = self.durable.clone();
        self.shelf
            .as_mut()
            .map(|s| s.keep(v, &d))
            .unwrap_or_default()
    }

    pub fn crash(&mut self, power: bool, roll: u64) {
        let torn: Vec<Rec> = self.writing.drain(..).flat_map(|w| w.1).collect();
        let mut k = roll;
        let mut coin = || {
            k = mix(k);
            k.is_multiple_of(2)
        };
        if !torn.is_empty() && self.up {
            let ops = self.ops(&torn);
            let mut left = roll % 8;
            for o in &ops {
                for m in micros(&self.platter, o) {
                    if left > 0 {
                        left -= 1;
                        self.platter.act(m);
                    }
                }
            }
        }
        self.platter.crash(power, &mut coin);
        self.up = false;
        self.frozen = false;
        self.control = None;
        self.front = None;
    }
}
