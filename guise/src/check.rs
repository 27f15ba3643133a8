//! Checks what callers saw against what the stand-in servers hold.
//!
//! Each rule writes its findings as text that begins with the name of the rule.

use crate::mix::Class;
use crate::world::{Srv, World};
use std::collections::BTreeMap;

/// What a caller knows about a request after its answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Out {
    /// It was acknowledged.
    Kept,
    /// It was refused with the promise that nothing took effect.
    Nothing,
    /// It may or may not have taken effect.
    Unknown,
}

/// One request as its caller saw it; times are in ms of the fleet's clock.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it was sent.
    pub start: u64,
    /// When its answer arrived.
    pub end: u64,
    /// Number of the caller.
    pub session: u64,
    /// What freshness it asked for.
    pub class: Class,
    /// Id of the request; empty for reads.
    pub id: String,
    /// Key that it read or wrote.
    pub key: String,
    /// Value that was written, or that the read returned.
    pub value: i64,
    /// Outcome.
    pub out: Out,
}

/// A span in which a server must get no more statements.
#[derive(Clone, Debug)]
pub struct Off {
    /// Name of the server.
    pub server: String,
    /// When it was taken out of service, ms.
    pub since: u64,
    /// When it was taken back into service, ms.
    pub until: u64,
    /// How long after `since` statements may still arrive, ms.
    pub bound: u64,
}

/// Everything that callers observed during a run.
#[derive(Default)]
pub struct History {
    /// All requests, in the order in which they ended.
    pub events: Vec<Event>,
    /// For acknowledged requests: the id, the regions passed through, the regions allowed.
    pub hops: Vec<(String, Vec<String>, Vec<String>)>,
    /// The value that a session set, and the one that its statement ran under.
    pub settings: Vec<(String, String)>,
    /// Spans in which servers were out of service.
    pub off: Vec<Off>,
    /// Number of requests by kind and outcome.
    pub kinds: BTreeMap<String, u64>,
}

impl History {
    fn kept_writes(&self) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(|event| event.class == Class::Write && event.out == Out::Kept)
    }

    fn kept_reads(&self) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(|event| event.class != Class::Write && event.out == Out::Kept)
    }
}

/// Returns a line for each broken rule; empty when none is broken.
pub fn check(history: &History, world: &World) -> Vec<String> {
    let mut faults = world.faults.clone();
    writes(history, world, &mut faults);
    reads(history, &mut faults);
    connections(world, &mut faults);
    regions(history, &mut faults);
    settings(history, &mut faults);
    out_of_service(history, world, &mut faults);
    faults
}

fn connections(world: &World, faults: &mut Vec<String>) {
    if world.over_cap > 0 {
        faults.push(format!(
            "caps: servers had to reject {} connections over their cap",
            world.over_cap
        ));
    }
    if world.cold_limit == 0 {
        return;
    }
    for (server, count) in &world.cold {
        if *count > world.cold_limit {
            faults.push(format!(
                "cold: {server} had {count} connections within 500 ms, {} is warm enough",
                world.cold_limit
            ));
        }
    }
}

fn regions(history: &History, faults: &mut Vec<String>) {
    for (_, path, allowed) in &history.hops {
        if let Some(region) = path.iter().find(|region| !allowed.contains(region)) {
            faults.push(format!(
                "homes: a request went through {region}, allowed were {allowed:?}"
            ));
        }
    }
}

fn settings(history: &History, faults: &mut Vec<String>) {
    for (want, got) in &history.settings {
        if want != got {
            faults.push(format!(
                "settings: a client that set '{want}' ran under '{got}'"
            ));
        }
    }
}

fn out_of_service(history: &History, world: &World, faults: &mut Vec<String>) {
    for off in &history.off {
        let server = world.ix(&off.server);
        let late: Vec<u64> = world
            .worked
            .iter()
            .filter(|(_, worker)| Some(*worker) == server)
            .map(|(at, _)| *at)
            .filter(|at| *at > off.since + off.bound && *at < off.until)
            .collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            faults.push(format!(
                "leaving: {} got {} statements more than {} ms after {}, at {first} to {last}",
                off.server,
                late.len(),
                off.bound,
                off.since
            ));
        }
    }
}

fn leaders(world: &World) -> impl Iterator<Item = &Srv> {
    world.last_leader.values().map(|i| &world.servers[*i])
}

fn writes(history: &History, world: &World, faults: &mut Vec<String>) {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for server in leaders(world) {
        for line in &server.data.log {
            *count.entry(&line.id).or_default() += 1;
        }
    }
    rising_values(world, faults);
    for event in history.events.iter().filter(|e| e.class == Class::Write) {
        let Event { id, end, .. } = event;
        let times = count.get(id.as_str()).copied().unwrap_or(0);
        match event.out {
            Out::Kept if times == 0 => {
                faults.push(format!("lost: {id} was acknowledged at {end} and is gone"))
            }
            Out::Nothing if times > 0 => faults.push(format!(
                "kept: {id} was told nothing kept at {end} and is there"
            )),
            _ if times > 1 => faults.push(format!("twice: {id} took effect {times} times")),
            _ => (),
        }
    }
}

/// Callers write rising values, so a value that falls in a log was written late.
fn rising_values(world: &World, faults: &mut Vec<String>) {
    let mut values: BTreeMap<&str, i64> = BTreeMap::new();
    for server in leaders(world) {
        for op in server.data.log.iter().flat_map(|line| &line.ops) {
            let key = op["key"].as_str().unwrap_or("");
            let value = op["value"].as_i64().unwrap_or(0);
            let newest = values.entry(key).or_insert(value);
            if value < *newest {
                faults.push(format!(
                    "late: {key} went back from {newest} to {value} in the log of {}",
                    server.name
                ));
            }
            *newest = value;
        }
    }
}

/// An acknowledged write, as far as reads depend on it.
struct Acknowledged {
    at: u64,
    value: i64,
    session: u64,
}

fn reads(history: &History, faults: &mut Vec<String>) {
    let mut writes: BTreeMap<&str, Vec<Acknowledged>> = BTreeMap::new();
    for event in history.kept_writes() {
        writes.entry(&event.key).or_default().push(Acknowledged {
            at: event.end,
            value: event.value,
            session: event.session,
        });
    }
    for read in history.kept_reads() {
        let of_key = writes.get(read.key.as_str()).map_or(&[][..], |w| w);
        let (want, rule) = needed(read, of_key);
        if read.value < want {
            faults.push(format!(
                "{rule}: a read of {} at {} got {}, acknowledged was {want}",
                read.key, read.start, read.value
            ));
        }
    }
}

/// The lowest value that a read may return, and the rule that demands it.
fn needed(read: &Event, writes: &[Acknowledged]) -> (i64, &'static str) {
    let newest = |before: u64, own_only: bool| {
        writes
            .iter()
            .filter(|w| w.at <= before && (!own_only || w.session == read.session))
            .map(|w| w.value)
            .max()
            .unwrap_or(0)
    };
    let within = |bound: u64| newest(read.start.saturating_sub(bound), false);
    match read.class {
        Class::Current => (newest(read.start, false), "current"),
        Class::Within(bound) => (within(bound), "behind"),
        Class::Own(bound) => (newest(read.start, true).max(within(bound)), "own"),
        Class::Write => (0, ""),
    }
}
