//! What a control machine keeps on disk, and its format: two snapshot slots in turn and a log for each, every
//! record sealed with generation and checksum. A torn last record is dropped; any other damage is an error,
//! so that a machine never starts from less than it acknowledged.

use crate::base::*;
use crate::plant::{planted, Bug};
use crate::state::*;
pub use crate::view::{Seat, View};
use speedy::{Readable, Writable};

/// What a control machine's disk holds.
#[derive(Clone, Default, Readable, Writable)]
pub struct Durable {
    /// Its id; 0 before the first start.
    pub id: NodeId,
    /// The machines that it founds a fleet with; once given it never changes.
    pub pledge: Vec<Seat>,
    /// The newest view that it adopted.
    pub view: View,
    /// The view that it is in sync with; 0: with none.
    pub whole: Mark,
    /// The highest ballot promised in the agreement on the next view.
    pub promised: u64,
    /// The ballot accepted there; 0: none.
    pub accepted: u64,
    /// The view accepted there.
    pub value: Option<View>,
    /// The control state.
    pub state: State,
}

/// A record of the log on disk: one change of `Durable`.
#[derive(Clone, Readable, Writable)]
pub enum Rec {
    /// The first start.
    Born(NodeId),
    /// A founding vote.
    Pledge(Vec<Seat>),
    /// A view was adopted, in sync or not; votes on it are over.
    View {
        /// The view.
        view: View,
        /// As in `Durable`.
        whole: Mark,
    },
    /// A promise or an acceptance.
    Vote {
        /// As in `Durable`.
        promised: u64,
        /// As in `Durable`.
        accepted: u64,
        /// As in `Durable`.
        value: Option<View>,
    },
    /// A log entry.
    Entry(Entry),
    /// The whole state was replaced.
    Snapshot {
        /// The state.
        state: Box<State>,
        /// As in `Durable`.
        whole: Mark,
    },
}

impl Durable {
    /// What a process starts with.
    pub(crate) fn recovered(mut self) -> Self {
        if planted(Bug::ForgetsVotes) {
            (self.promised, self.accepted, self.value) = (0, 0, None);
        }
        self
    }

    /// Applies a record. An entry gives its outcome.
    pub fn play(&mut self, r: &Rec) -> Option<Verdict> {
        match r {
            Rec::Born(id) => self.id = *id,
            Rec::Pledge(p) => self.pledge = p.clone(),
            Rec::View { view, whole } => {
                self.view = view.clone();
                self.whole = *whole;
                self.state.cluster = view.cluster;
                (self.promised, self.accepted, self.value) = (0, 0, None);
            }
            Rec::Vote {
                promised,
                accepted,
                value,
            } => {
                (self.promised, self.accepted, self.value) = (*promised, *accepted, value.clone());
            }
            Rec::Entry(e) => return Some(self.state.apply(e)),
            Rec::Snapshot { state, whole } => {
                self.state = (**state).clone();
                self.whole = *whole;
            }
        }
        None
    }
}

const MAGIC: u32 = 0x6669_7200;
/// The form that is written.
const FORM: u8 = b'v';
/// The forms that are read: views of `u` tell no holders.
const FORMS_READ: [u8; 2] = [b'u', FORM];
const HEAD: usize = 24;
/// The two snapshots, written in turn.
pub const SLOTS: [&str; 2] = ["slot.0", "slot.1"];
/// The log of each: the records since it was written.
pub const LOGS: [&str; 2] = ["log.0", "log.1"];

/// What is to be done with a file of the data folder. Each is finished, and synced, before the next one
/// begins.
pub enum FileOp {
    /// Syncs what was read at the start: after a crash the kernel may show bytes that the disk does not hold.
    Settle,
    /// Appends to a file.
    Append { name: &'static str, bytes: Vec<u8> },
    /// Replaces a file's content.
    Replace { name: &'static str, bytes: Vec<u8> },
}

fn seal(generation: u64, body: &[u8]) -> Vec<u8> {
    let mut v = Vec::with_capacity(HEAD + body.len());
    v.extend((MAGIC | FORM as u32).to_le_bytes());
    v.extend((body.len() as u32).to_le_bytes());
    v.extend(generation.to_le_bytes());
    v.extend((digest(body) ^ mix(generation ^ body.len() as u64)).to_le_bytes());
    v.extend(body);
    v
}

fn open(b: &[u8]) -> Option<(u64, &[u8], usize)> {
    let u4 = |i: usize| {
        b.get(i..i + 4)
            .and_then(|s| s.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let u8_ = |i: usize| {
        b.get(i..i + 8)
            .and_then(|s| s.try_into().ok())
            .map(u64::from_le_bytes)
    };
    let n = u4(4)? as usize;
    let g = u8_(8)?;
    let body = b.get(HEAD..HEAD.checked_add(n)?)?;
    let ok = u4(0)? & !0xff == MAGIC && u8_(16)? == digest(body) ^ mix(g ^ n as u64);
    ok.then_some((g, body, HEAD + n))
}

fn readable_form(b: &[u8]) -> Result<(), String> {
    let form = b.first().copied().unwrap_or(FORM);
    let ours = FORMS_READ.contains(&form) || open(b).is_none();
    ours.then_some(()).ok_or(format!(
        "written in form {form}, this program reads form {FORM}; start the newer one"
    ))
}

/// The files of a data folder: which slot is newest, and how long its log has grown.
pub struct Shelf {
    generation: u64,
    in_log: usize,
    settled: bool,
}

impl Shelf {
    /// Reads a folder's files. None: it is empty, or its first write was torn. A torn last record is dropped.
    /// Errors: another form, a damaged slot whose log went on, a damaged record with whole ones after it.
    pub fn recover(
        slots: [&[u8]; 2],
        logs: [&[u8]; 2],
    ) -> Result<(Shelf, Option<Durable>), String> {
        slots.iter().try_for_each(|s| readable_form(s))?;
        let got = slots.map(|s| {
            open(s).and_then(|(g, b, _)| Durable::read_from_buffer(b).ok().map(|d| (g, d)))
        });
        let whole = got.iter().flatten().map(|(g, _)| *g);
        let best = if planted(Bug::OlderSlot) {
            whole.min()
        } else {
            whole.max()
        };
        let Some(g) = best else {
            let empty = slots.iter().chain(logs.iter()).all(|b| b.is_empty());
            let torn_birth = logs.iter().all(|b| b.is_empty()) && slots[0].is_empty();
            return (empty || torn_birth)
                .then_some((
                    Shelf {
                        generation: 0,
                        in_log: 0,
                        settled: false,
                    },
                    None,
                ))
                .ok_or("both slots are damaged".into());
        };
        let other = (g + 1) as usize % 2;
        let lost = got[other].is_none() && !slots[other].is_empty();
        if lost && open(logs[other]).is_some_and(|(h, _, _)| h > g) {
            return Err(format!(
                "{} is damaged, its log goes on past {}",
                SLOTS[other],
                SLOTS[g as usize % 2]
            ));
        }
        let mut d = got
            .into_iter()
            .flatten()
            .find(|(h, _)| *h == g)
            .map(|(_, d)| d)
            .unwrap_or_default();
        let log = logs[g as usize % 2];
        let mut at = 0;
        while let Some((h, b, n)) = open(&log[at..]) {
            readable_form(&log[at..])?;
            if h != g {
                return Err(format!(
                    "a record of generation {h} stands in the log of {g}"
                ));
            }
            let v: Vec<Rec> = Vec::read_from_buffer(b)
                .map_err(|e| format!("a sealed record does not read: {e}"))?;
            v.iter().for_each(|r| {
                d.play(r);
            });
            at += n;
        }
        if (at + 1..log.len()).any(|i| open(&log[i..]).is_some()) {
            return Err(format!(
                "the log is damaged at byte {at}, whole records follow"
            ));
        }
        Ok((
            Shelf {
                generation: g,
                in_log: 0,
                settled: false,
            },
            Some(d),
        ))
    }

    /// Writes a snapshot to the other slot and empties its log.
    pub fn fresh(&mut self, d: &Durable) -> Vec<FileOp> {
        self.generation += 1;
        self.in_log = 0;
        let i = self.generation as usize % 2;
        let b = d.write_to_vec().unwrap_or_default();
        let first = (!std::mem::replace(&mut self.settled, true)).then_some(FileOp::Settle);
        let turn = [
            FileOp::Replace {
                name: LOGS[i],
                bytes: Vec::new(),
            },
            FileOp::Replace {
                name: SLOTS[i],
                bytes: seal(self.generation, &b),
            },
        ];
        first.into_iter().chain(turn).collect()
    }

    /// Appends records, or writes a snapshot (of `d`, which holds them) when the log has grown past
    /// `DISK_LOG_BYTES`.
    pub fn keep(&mut self, v: &[Rec], d: &Durable) -> Vec<FileOp> {
        let b = v.write_to_vec().unwrap_or_default();
        self.in_log += HEAD + b.len();
        if self.in_log > DISK_LOG_BYTES {
            return self.fresh(d);
        }
        vec![FileOp::Append {
            name: LOGS[self.generation as usize % 2],
            bytes: seal(self.generation, &b),
        }]
    }
}
