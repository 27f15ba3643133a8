//! A simulated disk. Bytes and file names that were not synced may be lost or torn at a power cut; what was synced
//! is kept. A full disk takes half of a write and refuses the rest.

use std::collections::{BTreeMap, BTreeSet};
use tenet::disk::FileOp;

#[derive(Clone, Debug)]
pub enum Micro {
    Create(&'static str),
    Cut(&'static str),
    Write(&'static str, Vec<u8>),
    Sync(&'static str),
    SyncDir,
}

#[derive(Clone, Default)]
pub struct Platter {
    pub files: BTreeMap<&'static str, Vec<u8>>,
    kept: BTreeMap<&'static str, Vec<u8>>,
    named: BTreeSet<&'static str>,
    loose: Vec<Micro>,
    pub full: bool,
}

pub fn micros(p: &Platter, op: &FileOp) -> Vec<Micro> {
    let (name, bytes, whole) = match op {
        FileOp::Settle => {
            return p
                .files
                .keys()
                .map(|n| Micro::Sync(n))
                .chain([Micro::SyncDir])
                .collect()
        }
        FileOp::Append { name, bytes } => (*name, bytes, false),
        FileOp::Replace { name, bytes } => (*name, bytes, true),
    };
    let mut v = Vec::new();
    match p.files.contains_key(name) {
        false => v.push(Micro::Create(name)),
        true if whole => v.push(Micro::Cut(name)),
        true => (),
    }
    let n = bytes.len() / 2;
    v.extend(
        [&bytes[..n], &bytes[n..]]
            .into_iter()
            .filter(|b| !b.is_empty())
            .map(|b| Micro::Write(name, b.to_vec())),
    );
    v.push(Micro::Sync(name));
    if whole {
        v.push(Micro::SyncDir);
    }
    v
}

fn change(files: &mut BTreeMap<&'static str, Vec<u8>>, m: &Micro) {
    match m {
        Micro::Create(n) | Micro::Cut(n) => {
            files.insert(n, Vec::new());
        }
        Micro::Write(n, b) => files.entry(n).or_default().extend(b),
        _ => (),
    }
}

impl Platter {
    pub fn act(&mut self, m: Micro) -> bool {
        if self.full && matches!(m, Micro::Write(..) | Micro::Create(_)) {
            if let Micro::Write(n, b) = &m {
                let part = Micro::Write(n, b[..b.len() / 2].to_vec());
                change(&mut self.files, &part);
                self.loose.push(part);
            }
            return false;
        }
        change(&mut self.files, &m);
        match &m {
            Micro::Sync(n) => {
                let data = self.files.get(n).cloned().unwrap_or_default();
                self.kept.insert(n, data);
                self.loose
                    .retain(|l| !matches!(l, Micro::Write(x, _) | Micro::Cut(x) if x == n));
            }
            Micro::SyncDir => {
                for l in &self.loose {
                    if let Micro::Create(n) = l {
                        self.named.insert(n);
                    }
                }
                self.loose.retain(|l| !matches!(l, Micro::Create(_)));
            }
            _ => self.loose.push(m),
        }
        true
    }

    pub fn run(&mut self, ops: Vec<FileOp>) -> bool {
        ops.iter()
            .all(|o| micros(self, o).into_iter().all(|m| self.act(m)))
    }

    pub fn crash(&mut self, power: bool, keep: &mut dyn FnMut() -> bool) {
        if !power {
            return;
        }
        let mut files = BTreeMap::new();
        for n in self.files.keys() {
            let fresh = !self.named.contains(n);
            let lost = fresh && !keep();
            if !lost {
                let mut data = self.kept.get(n).cloned().unwrap_or_default();
                for l in &self.loose {
                    match l {
                        Micro::Cut(x) if x == n && keep() => data.clear(),
                        Micro::Write(x, b) if x == n => {
                            let n = if keep() { b.len() } else { b.len() / 3 };
                            data.extend(&b[..n]);
                            if n < b.len() {
                                break;
                            }
                        }
                        _ => (),
                    }
                }
                files.insert(*n, data);
            }
        }
        self.named = files.keys().copied().collect();
        self.kept = files.clone();
        self.files = files;
        self.loose.clear();
    }

    pub fn wipe(&mut self) {
        *self = Platter {
            full: self.full,
            ..Platter::default()
        };
    }
}
