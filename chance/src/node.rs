use std::collections::BTreeMap;
use tenet::base::*;
use tenet::control::*;
use tenet::disk::*;
use tenet::front::Front;

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
    pub files: BTreeMap<&'static str, Vec<u8>>,
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
    pub logs: Vec<(Time, String)>,
}

impl Node {
    pub fn local(&self, t: Time) -> Time {
        let d = t.saturating_sub(self.start) as i64;
        (d + d * self.drift / 1000) as Time + 1
    }

    pub fn global(&self, l: Time) -> Time {
        let d = l.saturating_sub(1) as i64;
        self.start + (d * 1000 / (1000 + self.drift)) as Time + 1
    }

    pub fn boot(&mut self, t: Time, seeds: Vec<Addr>, seed: u64) -> Result<Effect, String> {
        self.up = true;
        self.frozen = false;
        self.start = t;
        self.life += 1;
        self.disk_free = t;
        self.writing.clear();
        self.mark = 0;
        let mut durable = None;
        if self.disk {
            let f = |n: &str| self.files.get(n).cloned().unwrap_or_default();
            let (s, l) = ([f(SLOTS[0]), f(SLOTS[1])], [f(LOGS[0]), f(LOGS[1])]);
            let (shelf, d) = Shelf::recover([&s[0], &s[1]], [&l[0], &l[1]])?;
            self.shelf = Some(shelf);
            durable = d.filter(|d| d.id != 0);
            self.durable = durable.clone().unwrap_or_default();
            let d = self.durable.clone();
            let ops = self.shelf.as_mut().map(|s| s.fresh(&d)).unwrap_or_default();
            ops.into_iter().for_each(|o| self.file(o));
        }
        let start = Start {
            addr: self.addr,
            http: self.addr,
            domain: self.domain.clone(),
            disk: self.disk,
            seeds,
            durable,
            seed: mix(seed ^ mix(self.i as u64 * 1000 + self.life as u64)),
            wall: 1_000_000 + t,
        };
        let (c, e) = Control::new(start, 1);
        self.front = (!self.disk).then(|| Front::new(c.me.id, self.addr, mix(seed ^ mix(self.i as u64 * 1000 + self.life as u64) ^ 5)));
        self.control = Some(c);
        Ok(e)
    }

    pub fn file(&mut self, op: FileOp) {
        self.syncs += 1;
        match op {
            FileOp::Append { name, bytes } => self.files.entry(name).or_default().extend(bytes),
            FileOp::Replace { name, bytes } => {
                self.files.insert(name, bytes);
            }
        }
    }

    pub fn synced(&mut self, seq: u64) -> bool {
        let Some(p) = self.writing.iter().position(|w| w.0 == seq) else { return false };
        let done: Vec<(u64, Vec<Rec>)> = self.writing.drain(..=p).collect();
        for (_, v) in done {
            v.iter().for_each(|r| {
                self.durable.play(r);
            });
            let d = self.durable.clone();
            let ops = self.shelf.as_mut().map(|s| s.keep(&v, &d)).unwrap_or_default();
            ops.into_iter().for_each(|o| self.file(o));
        }
        true
    }

    pub fn crash(&mut self, roll: u64) {
        let torn = self.writing.first().cloned();
        if let (Some((_, v)), Some(s)) = (torn, self.shelf.as_mut()) {
            for r in &v {
                self.durable.play(r);
            }
            for op in s.keep(&v, &self.durable) {
                match op {
                    FileOp::Append { name, bytes } => {
                        let n = roll as usize % (bytes.len() + 1);
                        self.files.entry(name).or_default().extend(&bytes[..n]);
                    }
                    FileOp::Replace { name, bytes } => {
                        let n = roll as usize % (bytes.len() + 1);
                        self.files.insert(name, bytes[..n].to_vec());
                        break;
                    }
                }
            }
        }
        self.writing.clear();
        self.up = false;
        self.frozen = false;
        self.control = None;
        self.front = None;
    }
}
