//! One control machine of the model: its process, its disk, and how it is polled.

use super::setup::{index_of, seat};
use tenet::base::{Addr, Time};
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::disk::{Durable, Rec};
use tenet::fingerprint::Fingerprint;
use tenet::wire::Msg;

const COPIES: usize = 2;
/// How many bits of the number of a lease request count the requests of one life.
const REQUEST_BITS: u32 = 16;

/// What a machine is given at one poll.
pub enum Input {
    Tick,
    Message { from: usize, message: Box<Msg> },
    Synced(u64),
}

/// What a poll asks for: messages to others, and a batch of writes.
#[derive(Default)]
pub struct Effects {
    pub send: Vec<(Addr, Msg)>,
    pub written: Option<(u64, Vec<Rec>)>,
}

/// One control machine: its process, while it runs, and its disk.
#[derive(Clone)]
pub struct Machine {
    pub chain: Option<Chain>,
    pub disk: Durable,
    /// Batches handed to the disk and not synced.
    pub unsynced: Vec<(u64, Vec<Rec>)>,
    pub restart_at: u32,
    pub print: u64,
    disk_print: u64,
}

impl Machine {
    pub fn start(disk: Durable, index: usize, now: Time) -> Self {
        let chain = Chain::new(seat(index), disk.clone(), now)
            .with(true, Vec::new(), COPIES)
            .requesting_from(now << REQUEST_BITS);
        let mut machine = Machine {
            chain: Some(chain),
            disk,
            unsynced: Vec::new(),
            restart_at: 0,
            print: 0,
            disk_print: 0,
        };
        machine.refresh_disk_print();
        machine.refresh_print();
        machine
    }

    fn refresh_disk_print(&mut self) {
        let mut print = Fingerprint::default();
        print.add(&self.disk);
        self.disk_print = print.value();
    }

    pub fn refresh_print(&mut self) {
        let mut print = Fingerprint::default();
        print.add(&self.disk_print);
        print.add(&self.unsynced);
        print.add(&self.restart_at);
        print.add(&self.chain.as_ref().map_or(0, Chain::fingerprint));
        self.print = print.value();
    }

    pub fn sync(&mut self, batch: u64) {
        while self.unsynced.first().is_some_and(|(seq, _)| *seq <= batch) {
            for record in self.unsynced.remove(0).1 {
                self.disk.play(&record);
            }
        }
        self.refresh_disk_print();
    }
}

/// One poll as `tenet::control` does it: take the input, poll the timers, hand writes to the disk, and
/// give messages that a machine sends to itself back to it at once.
pub fn run(chain: &mut Chain, now: Time, input: Input, known: &Colleagues, effects: &mut Effects) {
    let mut out = Out::default();
    match input {
        Input::Tick => (),
        Input::Message { from, message } => {
            let sender = seat(from);
            chain.take(now, sender.id, sender.addr, *message, known, &mut out);
        }
        Input::Synced(batch) => chain.synced(now, batch, &mut out),
    }
    chain.tick(now, known, &mut out);
    let written = chain.seq(&mut out);
    chain.settled(&mut out);
    if let Some(batch) = written {
        let earlier = effects.written.take().map_or(Vec::new(), |(_, r)| r);
        effects.written = Some((batch, earlier.into_iter().chain(out.write).collect()));
    }
    let me = index_of(chain.me.addr).unwrap_or_default();
    for (addr, message) in out.send {
        match addr == chain.me.addr {
            true => run(
                chain,
                now,
                Input::Message {
                    from: me,
                    message: Box::new(message),
                },
                known,
                effects,
            ),
            false => effects.send.push((addr, message)),
        }
    }
}
