//! A fleet of dozens of control machines on slow computers: links of limited bandwidth, processors
//! of a small share that pause now and then, datagrams that get lost. Requests of callers are not
//! simulated; what the machines tell their traffic side is recorded.

mod machine;
mod scene;

pub use machine::*;
pub use scene::*;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use tenet::base::*;
use tenet::control::{Effect, In, Reply};
use tenet::state::Op;
use tenet::table::Table;
use tenet::wire::{by_line, decode, encode, Msg, Packet};

/// Microseconds of simulated time in a millisecond.
pub const MILLI: u64 = 1000;
/// One way between machines of one region, and of two, in microseconds.
const NEAR: u64 = 500;
const FAR: u64 = 12_000;
/// Of a thousand datagrams, how many are lost.
const LOST_PER_MILLE: u64 = 3;
/// At most how long after another a processor is taken away from its machine, and for at most how
/// long, in milliseconds.
const PAUSE_EVERY: Time = 20_000;
const PAUSE_MOST: Time = 350;

enum Event {
    /// Bytes arrive for the process that lives at a machine.
    Arrive {
        to: usize,
        bytes: Vec<u8>,
    },
    /// Inputs wait for the processor of a machine.
    Run {
        at: usize,
        life: u32,
    },
    Wake {
        at: usize,
        life: u32,
        due: Time,
    },
    Synced {
        at: usize,
        life: u32,
        seq: u64,
    },
    Act(Act),
}

/// What happens to machines, and what operators and servers ask.
#[derive(Clone)]
pub enum Act {
    Start(usize),
    Kill(usize),
    /// Takes the processor away for a while, and again later.
    Pause(usize),
    /// Asks a process to stop; it ends `STOP_TAKES` later and starts again `START_TAKES` after that.
    Restart(usize),
    /// An operator gives an order, for the first time or again.
    Attempt {
        order: u64,
    },
    Beat {
        server: usize,
    },
}

/// How long a process that was asked to stop still runs, in milliseconds.
pub const STOP_TAKES: Time = 3000;
/// How long the next process at its machine takes to start.
pub const START_TAKES: Time = 700;

/// An order of an operator, and how it went.
pub struct Order {
    op: Op,
    pub given: Time,
    attempts: u64,
    pub accepted: Option<Time>,
}

/// Attempts of one order are numbered below this.
const ATTEMPTS: u64 = 1000;
/// How long an operator waits for an answer before the order goes to another machine.
const OPERATOR_WAITS: Time = 1000;
/// How soon an order that was refused for now is given again.
const OPERATOR_AGAIN: Time = 100;

pub struct Crowd {
    pub scene: Scene,
    /// In microseconds.
    now: u64,
    pub machines: Vec<Machine>,
    pub orders: BTreeMap<u64, Order>,
    /// Bytes sent between regions, by kind of message.
    pub far_bytes: BTreeMap<&'static str, u64>,
    /// Processes of any time, with whether they were asked to stop or ended.
    ended: BTreeSet<NodeId>,
    /// Running processes that others gave up, one for each verdict.
    pub wrong: Vec<(Time, NodeId)>,
    by_address: HashMap<Addr, usize>,
    beats: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    rolls: u64,
}

impl Crowd {
    /// A fleet whose processes all start within 300 ms.
    pub fn new(scene: Scene) -> Crowd {
        let machines: Vec<Machine> = (0..scene.machines()).map(|i| scene.machine(i)).collect();
        let by_address = machines.iter().enumerate().map(|(i, m)| (m.addr, i));
        let mut crowd = Crowd {
            by_address: by_address.collect(),
            beats: vec![0; scene.servers()],
            now: 0,
            machines,
            orders: BTreeMap::new(),
            far_bytes: BTreeMap::new(),
            ended: BTreeSet::new(),
            wrong: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            rolls: 0,
            scene,
        };
        for i in 0..crowd.machines.len() {
            let at = 1 + crowd.roll(300);
            crowd.act(at, Act::Start(i));
            let pause = crowd.roll(PAUSE_EVERY);
            crowd.act(pause, Act::Pause(i));
        }
        for server in 0..crowd.scene.servers() {
            let at = 3000 + crowd.roll(BEAT);
            crowd.act(at, Act::Beat { server });
        }
        crowd
    }

    pub fn now(&self) -> Time {
        self.now / MILLI
    }

    pub fn roll(&mut self, below: u64) -> u64 {
        self.rolls += 1;
        mix(self.scene.seed ^ mix(self.rolls)) % below.max(1)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at.max(self.now), self.count), event);
    }

    /// Has something happen at a time, in milliseconds.
    pub fn act(&mut self, at: Time, act: Act) {
        self.push(at * MILLI, Event::Act(act));
    }

    /// Has an operator give an order, at this time.
    pub fn order(&mut self, at: Time, op: Op) {
        let number = 1 + self.orders.len() as u64;
        let order = Order {
            op,
            given: at,
            attempts: 0,
            accepted: None,
        };
        self.orders.insert(number, order);
        self.act(at, Act::Attempt { order: number });
    }

    /// Gives an order to some control machine, unless it was accepted; and again after a silence.
    fn attempt(&mut self, number: u64) {
        let on_disk: Vec<usize> = (0..self.machines.len())
            .filter(|i| self.machines[*i].disk)
            .collect();
        let at = on_disk[self.roll(on_disk.len() as u64) as usize];
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        if order.accepted.is_some() {
            return;
        }
        order.attempts += 1;
        let call = number * ATTEMPTS + order.attempts;
        let op = order.op.clone();
        self.input(at, In::Ask { call, id: None, op }, 0);
        let wait = match self.machines[at].up() {
            true => OPERATOR_WAITS,
            false => OPERATOR_AGAIN,
        };
        let next = self.now() + wait;
        self.act(next, Act::Attempt { order: number });
    }

    fn answered(&mut self, call: u64, accepted: bool) {
        let now = self.now();
        let number = call / ATTEMPTS;
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        if accepted {
            order.accepted = order.accepted.or(Some(now));
        } else if order.attempts == call % ATTEMPTS {
            self.act(now + OPERATOR_AGAIN, Act::Attempt { order: number });
        }
    }

    /// How long each order took until it was accepted; one that was not counts until now.
    pub fn order_times(&self) -> Vec<Time> {
        let now = self.now();
        let orders = self.orders.values().filter(|o| o.given < now);
        orders
            .map(|o| o.accepted.unwrap_or(now) - o.given)
            .collect()
    }

    pub fn run(&mut self, until: Time) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until * MILLI {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.step(event);
        }
        self.now = until * MILLI;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { to, bytes } => {
                if let (true, Ok(packet)) = (self.machines[to].up(), decode(&bytes)) {
                    self.input(to, In::Packet(packet), bytes.len() as u64);
                }
            }
            Event::Run { at, life } if self.machines[at].life == life => self.run_next(at),
            Event::Wake { at, life, due } => {
                let machine = &self.machines[at];
                if machine.life == life && machine.wake == due && machine.idle() {
                    self.input(at, In::Wakeup, 0);
                }
            }
            Event::Synced { at, life, seq } if self.machines[at].life == life => {
                self.machines[at].synced(seq);
                self.input(at, In::Synced(seq), 0);
            }
            Event::Act(act) => self.take_act(act),
            _ => (),
        }
    }

    fn take_act(&mut self, act: Act) {
        match act {
            Act::Start(i) => self.start(i),
            Act::Kill(i) => self.end(i),
            Act::Pause(i) => self.pause(i),
            Act::Restart(i) => self.restart(i),
            Act::Attempt { order } => self.attempt(order),
            Act::Beat { server } => self.beat(server),
        }
    }

    fn start(&mut self, i: usize) {
        let seed = self.roll(u64::MAX);
        let wall = 1_000_000 + self.now();
        let start = self.scene.start(i, &self.machines[i], seed, wall);
        let now = self.now();
        let effect = self.machines[i].start(start, now);
        self.effect(i, effect);
    }

    fn pause(&mut self, i: usize) {
        let span = self.roll(PAUSE_MOST);
        self.machines[i].pause(self.now, span * MILLI);
        let next = self.now() + 1 + self.roll(PAUSE_EVERY);
        self.act(next, Act::Pause(i));
    }

    fn end(&mut self, i: usize) {
        self.ended.extend(self.machines[i].id());
        self.machines[i].end();
    }

    fn restart(&mut self, i: usize) {
        self.ended.extend(self.machines[i].id());
        self.input(i, In::Stopping, 0);
        let now = self.now();
        self.act(now + STOP_TAKES, Act::Kill(i));
        self.act(now + STOP_TAKES + START_TAKES, Act::Start(i));
    }

    /// A server tells a control machine that it is there, until one answers.
    fn beat(&mut self, server: usize) {
        self.beats[server] += 1;
        let op = self.scene.beat(server, self.beats[server]);
        let on_disk: Vec<usize> = (0..self.machines.len())
            .filter(|i| self.machines[*i].disk && self.machines[*i].up())
            .collect();
        if !on_disk.is_empty() {
            let at = on_disk[self.roll(on_disk.len() as u64) as usize];
            self.input(at, In::Announce { call: 0, op }, 0);
        }
        let next = self.now() + BEAT;
        self.act(next, Act::Beat { server });
    }

    /// Puts an input into the queue of a process, which the processor works off in order.
    fn input(&mut self, i: usize, input: In, bytes: u64) {
        if !self.machines[i].up() {
            return;
        }
        let machine = &mut self.machines[i];
        let life = machine.life;
        let at = machine.queue(self.now, input, bytes);
        self.push(at, Event::Run { at: i, life });
    }

    fn run_next(&mut self, i: usize) {
        let now = self.now();
        if let Some(effect) = self.machines[i].run_next(now) {
            self.effect(i, effect);
        }
    }

    fn effect(&mut self, i: usize, effect: Effect) {
        let now = self.now();
        self.note(i, &effect);
        for (to, packet) in effect.send {
            self.send(i, to, packet);
        }
        let life = self.machines[i].life;
        if let Some((seq, records)) = effect.write {
            let at = self.machines[i].write(self.now, seq, records);
            self.push(at, Event::Synced { at: i, life, seq });
        }
        let due = effect.wakeup.max(now + 1);
        self.machines[i].wake = due;
        self.push(due * MILLI, Event::Wake { at: i, life, due });
    }

    /// Records what an effect tells operators, the traffic side and the log.
    fn note(&mut self, i: usize, effect: &Effect) {
        let now = self.now();
        for (call, reply) in &effect.response {
            let accepted = matches!(reply, Reply::Verdict(verdict) if verdict.reject.is_none());
            self.answered(*call, accepted);
        }
        if let Some((table, until)) = &effect.news {
            self.machines[i].table = Some((table.clone(), *until));
        }
        for line in &effect.log {
            if let Some(id) = given_up(line).filter(|id| self.runs(*id)) {
                self.wrong.push((now, id));
            }
        }
    }

    /// Whether a process of that id runs and was not asked to stop.
    pub fn runs(&self, id: NodeId) -> bool {
        let mut machines = self.machines.iter();
        machines.any(|m| m.id() == Some(id)) && !self.ended.contains(&id)
    }

    fn send(&mut self, from: usize, to: Addr, packet: Packet) {
        let bytes = encode(&packet);
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        let datagram = !by_line(&packet, bytes.len());
        let far = self.machines[from].region != self.machines[to].region;
        if far {
            *self.far_bytes.entry(kind(&packet.msg)).or_default() += bytes.len() as u64;
        }
        if datagram && self.roll(1000) < LOST_PER_MILLE {
            return;
        }
        let way = if far { FAR } else { NEAR };
        let size = bytes.len() as u64;
        let left = self.machines[from].uplink.pass(self.now, size);
        let arrived = self.machines[to].downlink.pass(left + way, size);
        self.push(arrived, Event::Arrive { to, bytes });
    }

    /// The tables of those machines without a disk whose lease holds.
    pub fn leased(&self) -> Vec<Arc<Table>> {
        let now = self.now();
        let plain = self.machines.iter().filter(|m| !m.disk && m.up());
        plain
            .filter_map(|m| m.table.as_ref())
            .filter(|(_, until)| *until > now)
            .map(|(table, _)| table.clone())
            .collect()
    }

    /// The share of pairs of a node and a database by which the node can serve the database: its lease
    /// holds, and it knows a gateway and a fencing node that run.
    pub fn served(&self) -> f64 {
        let plain = self.machines.iter().filter(|m| !m.disk).count();
        let pairs = plain * self.scene.databases;
        let good = |table: &Arc<Table>| {
            let runs = |ids: &[NodeId]| ids.iter().any(|id| self.runs(*id));
            let rows = table.dbs.iter();
            rows.filter(|d| runs(&d.gateways) && runs(&d.fencers))
                .count()
        };
        self.leased().iter().map(good).sum::<usize>() as f64 / pairs as f64
    }

    /// How many changes of a kind the log holds, as the replicas that run tell.
    pub fn placements(&self) -> usize {
        let controls = self.machines.iter().filter(|m| m.disk);
        controls.map(|m| m.placements).max().unwrap_or(0)
    }
}

/// Who a line of the log gives up because nobody refuted the suspicion.
fn given_up(line: &str) -> Option<NodeId> {
    line.contains("suspicion was not refuted")
        .then(|| line.split(' ').next())
        .flatten()
        .and_then(|word| NodeId::from_str_radix(word, 16).ok())
}

fn kind(msg: &Msg) -> &'static str {
    match msg {
        Msg::Probe { .. }
        | Msg::ProbeAck { .. }
        | Msg::ProbeFor { .. }
        | Msg::ProbeOf { .. }
        | Msg::Speaks { .. } => "gossip",
        Msg::Append { .. } | Msg::Have { .. } | Msg::Propose { .. } | Msg::Outcome { .. } => {
            "chain"
        }
        Msg::Sights { .. } => "sights",
        Msg::Contact { .. } => "contact",
        Msg::Fresh { .. } => "entries",
        Msg::Refresh { .. } | Msg::Nudge { .. } => "leases",
        Msg::SnapshotAsk { .. } | Msg::SnapshotOffer { .. } | Msg::SnapshotPart { .. } => {
            "snapshots"
        }
        _ => "other",
    }
}
