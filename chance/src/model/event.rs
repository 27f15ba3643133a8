//! What waits to happen: messages on their way and writes on their way to a disk.

use std::fmt;
use tenet::fingerprint::Fingerprint;
use tenet::wire::Msg;

/// One thing that happens at one machine.
pub enum Event {
    /// A message arrives.
    Deliver {
        from: usize,
        to: usize,
        message: Box<Msg>,
    },
    /// All batches of writes up to `batch` are on the disk.
    Sync { machine: usize, batch: u64 },
}

/// An event with the digest that tells it from others.
pub struct Queued {
    pub event: Event,
    pub print: u64,
}

impl Event {
    /// A message that makes its receiver write nothing, and that is sent again within a step or two.
    pub fn heartbeat(&self) -> bool {
        match self {
            Event::Deliver { message, .. } => match message.as_ref() {
                Msg::Append { entries, .. } => entries.is_empty(),
                Msg::Contact { .. } | Msg::Have { .. } | Msg::ViewAsk => true,
                _ => false,
            },
            Event::Sync { .. } => false,
        }
    }
}

impl Queued {
    /// Computes the digest once, since events are shared by many states.
    pub fn new(event: Event) -> Self {
        let mut print = Fingerprint::default();
        match &event {
            Event::Deliver { from, to, message } => {
                print.add(&(*from as u64, *to as u64));
                print.add(message.as_ref());
            }
            Event::Sync { machine, batch } => print.add(&(*machine as u64 + 100, *batch)),
        }
        let print = print.value();
        Queued { event, print }
    }

    /// The machine at which it happens.
    pub fn target(&self) -> usize {
        match &self.event {
            Event::Deliver { to, .. } => *to,
            Event::Sync { machine, .. } => *machine,
        }
    }
}

impl fmt::Display for Queued {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.event {
            Event::Deliver { from, to, message } => {
                write!(f, "{from} to {to}: {}", describe(message))
            }
            Event::Sync { machine, batch } => write!(f, "{machine} syncs batch {batch}"),
        }
    }
}

fn describe(message: &Msg) -> String {
    match message {
        Msg::Prepare { inst, ballot } => format!("Prepare view {inst} ballot {ballot}"),
        Msg::Promise { inst, ballot, .. } => format!("Promise view {inst} ballot {ballot}"),
        Msg::Accept {
            inst,
            ballot,
            value,
        } => {
            let chain: Vec<u64> = value.chain.iter().map(|seat| seat.id).collect();
            format!("Accept view {inst} ballot {ballot} chain {chain:?}")
        }
        Msg::Accepted { inst, ballot } => format!("Accepted view {inst} ballot {ballot}"),
        Msg::Nack { inst, ballot } => format!("Nack view {inst} ballot {ballot}"),
        Msg::ViewAsk => "ViewAsk".into(),
        Msg::ViewIs { view } => format!("ViewIs {}", view.n),
        Msg::TailAsk { view, seq } => format!("TailAsk view {view} seq {seq}"),
        Msg::TailGrant { view, seq } => format!("TailGrant view {view} seq {seq}"),
        Msg::TailGive { view, seq } => format!("TailGive view {view} seq {seq}"),
        Msg::Append {
            view,
            prev,
            entries,
        } => format!("Append view {view} after {prev}, {} entries", entries.len()),
        Msg::Have { view, mark } => format!("Have view {view} mark {mark}"),
        Msg::SnapshotAsk { view, offset, .. } => format!("SnapshotAsk view {view} at {offset}"),
        Msg::SnapshotOffer { view, id, .. } => {
            format!("SnapshotOffer view {view} mark {}", id.index)
        }
        Msg::SnapshotPart { view, part, .. } => {
            format!("SnapshotPart view {view} at {}", part.offset)
        }
        Msg::Contact { hears, disk_ready } => {
            format!("Contact hears {hears:?} disk ready {disk_ready}")
        }
        Msg::Propose { ask } => format!("Propose {}", ask.id),
        _ => "other".into(),
    }
}
