//! Stand-in for the database servers and for the platform's promote call, with the standard library only.
//!
//! `stand WORDS RECORD` takes commands from its input, one a line, and answers each with one line:
//!
//! `doors A,B`, `platform ADDR`, `cluster NAME SYNC`, `server CLUSTER ID ADDR ZONE [lead]`, `deaf ID 0|1`, `drain ID`,
//! `delete ID`, `end ID`, `crash ID`, `back ID`, `beaten ID`, `drained ID`, `lead CLUSTER`, `log ID`, `calls`, `quit`.
//!
//! WORDS names the platform's own words (key=value). RECORD gets what was run, sent and answered, with the time of day
//! in ms. The servers of a cluster share one replicated log: a replica holds what it received from the leader's log, and
//! what it holds beyond that is cut when it follows another leader.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BEAT_MS: u64 = 1200;
const PROMOTE_MS: u64 = 600;
const WORK_MS: u64 = 3;
const REPLICATE_MS: u64 = 2;
const MAX_CONNECTIONS: usize = 68;
const ORDERS_EACH_S: usize = 50;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, PartialEq)]
struct Entry {
    term: u64,
    id: String,
    writes: Vec<(String, String)>,
}

struct Server {
    id: String,
    addr: String,
    zone: String,
    /// The process runs.
    up: bool,
    /// It receives nothing from the leader.
    deaf: bool,
    draining: bool,
    /// It said that it is gone.
    departed: bool,
    /// Its beats were acknowledged, also those that say that it drains.
    beaten: bool,
    drained: bool,
    sequence: u64,
    /// Changes whenever its connections end.
    life: u64,
    streams: Vec<TcpStream>,
    /// Open connections.
    open: usize,
    log: Vec<Entry>,
}

struct Cluster {
    name: String,
    sync: usize,
    term: u64,
    lead: Option<usize>,
    servers: Vec<Server>,
}

#[derive(Default)]
struct World {
    clusters: Vec<Cluster>,
    doors: Vec<String>,
    fences: HashMap<String, u64>,
    orders: Vec<Instant>,
    calls: Vec<String>,
}

struct Stand {
    world: Mutex<World>,
    record: Mutex<File>,
    words: HashMap<String, String>,
}

type At = (usize, usize);

impl Stand {
    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn note(&self, text: &str) {
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let mut file = self.record.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at} stand: {text}");
    }

    fn word(&self, key: &str) -> &str {
        self.words.get(key).map_or("", String::as_str)
    }
}

impl World {
    fn find(&self, id: &str) -> Option<At> {
        self.clusters.iter().enumerate().find_map(|(c, cluster)| {
            let s = cluster.servers.iter().position(|s| s.id == id)?;
            Some((c, s))
        })
    }

    fn server(&mut self, at: At) -> &mut Server {
        &mut self.clusters[at.0].servers[at.1]
    }

    fn leads(&self, at: At) -> bool {
        self.clusters[at.0].lead == Some(at.1)
    }

    /// Ends all connections of a server.
    fn cut(&mut self, at: At) {
        let server = self.server(at);
        server.life += 1;
        server.open = 0;
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn position(&self, at: At) -> (u64, u64) {
        let log = &self.clusters[at.0].servers[at.1].log;
        (log.last().map_or(1, |e| e.term), log.len() as u64)
    }
}

impl Cluster {
    /// Each replica that receives takes over the leader's log.
    fn replicate(&mut self) {
        let Some(lead) = self.lead.filter(|l| self.servers[*l].up) else {
            return;
        };
        let source = self.servers[lead].log.clone();
        for (i, server) in self.servers.iter_mut().enumerate() {
            if i != lead && server.up && !server.deaf && server.log != source {
                server.log = source.clone();
            }
        }
    }
}

fn replicator(stand: Arc<Stand>) {
    loop {
        sleep(ms(REPLICATE_MS));
        stand
            .world()
            .clusters
            .iter_mut()
            .for_each(Cluster::replicate);
    }
}

// --- a server's connections -------------------------------------------------------------------------------------------

struct Transaction {
    term: u64,
    reads_only: bool,
    bad: bool,
    writes: Vec<(String, String)>,
}

struct Connection {
    at: At,
    life: u64,
    number: u64,
    stamps: u64,
    names: HashMap<String, (bool, String)>,
    transaction: Option<Transaction>,
}

/// Rows, and the stamp or the error code. `None`: the connection ends without an answer.
type Ran = Option<(Vec<String>, Result<String, &'static str>)>;

fn listen(stand: Arc<Stand>, at: At) {
    let (addr, life) = {
        let mut world = stand.world();
        let server = world.server(at);
        (server.addr.clone(), server.life)
    };
    let listener = match TcpListener::bind(&addr) {
        Ok(listener) => listener,
        Err(error) => return stand.note(&format!("cannot listen at {addr}: {error}")),
    };
    let _ = listener.set_nonblocking(true);
    let mut number = 0;
    while {
        let mut world = stand.world();
        let server = world.server(at);
        server.up && server.life == life
    } {
        let Ok((stream, _)) = listener.accept() else {
            sleep(ms(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(other) = stream.try_clone() {
            let mut world = stand.world();
            let server = world.server(at);
            server.streams.push(other);
            server.open += 1;
        }
        number += 1;
        let connection = Connection {
            at,
            life,
            number,
            stamps: 0,
            names: HashMap::new(),
            transaction: None,
        };
        let stand = stand.clone();
        spawn(move || {
            converse(&stand, connection, stream);
            let mut world = stand.world();
            let server = world.server(at);
            if server.life == life {
                server.open = server.open.saturating_sub(1);
            }
        });
    }
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        let before = bytes.len();
        reader.read_until(b'\n', &mut bytes).ok()?;
        if bytes.len() == before {
            return None;
        }
    }
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}

fn converse(stand: &Stand, mut connection: Connection, stream: TcpStream) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let Some(hello) = line(&mut reader) else {
        return;
    };
    let fields: Vec<&str> = hello.split(' ').collect();
    let (name, id, open) = {
        let world = stand.world();
        let cluster = &world.clusters[connection.at.0];
        let server = &cluster.servers[connection.at.1];
        (cluster.name.clone(), server.id.clone(), server.open)
    };
    let wanted = fields.get(3).is_none_or(|wanted| *wanted == id);
    if fields.len() < 3 || fields[0] != "CONNECT" || fields[1] != name || !wanted {
        stand.note(&format!("{id}: refused {hello:?}"));
        let _ = out.write_all(format!("ERROR WRONGHOST {id}\r\n").as_bytes());
        return;
    }
    if open > MAX_CONNECTIONS {
        let _ = out.write_all(b"ERROR CONNLIMIT\r\n");
        return;
    }
    if out.write_all(ready(stand, &connection).as_bytes()).is_err() {
        return;
    }
    while let Some(message) = line(&mut reader) {
        let Some(query) = message.strip_prefix("QUERY ") else {
            return;
        };
        let (query_id, text) = query.split_once(' ').unwrap_or((query, ""));
        let Some((rows, end)) = run(stand, &mut connection, &id, query_id, text) else {
            return;
        };
        let mut answer: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
        answer += &match &end {
            Ok(stamp) => format!("COMPLETE {stamp}\r\n"),
            Err(code) => format!("ERROR {code} {id}\r\n"),
        };
        answer += &ready(stand, &connection);
        if !text.starts_with("REPORT") {
            stand.note(&format!("{id}: ran {query_id} {text:?}: {rows:?} {end:?}"));
        }
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn ready(stand: &Stand, connection: &Connection) -> String {
    let (term, number) = stand.world().position(connection.at);
    let state = match &connection.transaction {
        None => 'I',
        Some(transaction) if transaction.bad => 'E',
        Some(_) => 'T',
    };
    format!("READY {state} {term}.{number}\r\n")
}

fn fails(connection: &mut Connection, code: &'static str) -> Ran {
    if let Some(transaction) = &mut connection.transaction {
        transaction.bad = true;
    }
    Some((Vec::new(), Err(code)))
}

fn done() -> Ran {
    Some((Vec::new(), Ok("-".into())))
}

fn run(stand: &Stand, connection: &mut Connection, server: &str, id: &str, text: &str) -> Ran {
    let at = connection.at;
    let mut text = text;
    if let Some(guarded) = text.strip_prefix(stand.word("guard")) {
        let (position, rest) = guarded.trim_start().split_once(' ')?;
        let (term, number) = position.split_once('.')?;
        let wanted = (term.parse().ok()?, number.parse().ok()?);
        if stand.world().position(at) < wanted {
            return fails(connection, "LAGGING");
        }
        text = rest;
    }
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    let (first, more) = rest.split_once(' ').unwrap_or((rest, ""));
    if connection.transaction.as_ref().is_some_and(|t| t.bad)
        && word != "ROLLBACK"
        && word != "COMMIT"
    {
        return fails(connection, "MALFORMED");
    }
    let (writes, thing, data) = match word {
        "FETCH" => (Some(false), first, ""),
        "STORE" => (Some(true), first, more),
        "EXECUTE" => match connection.names.get(first) {
            Some((writes, _)) => {
                let (thing, data) = more.split_once(' ').unwrap_or((more, ""));
                (Some(*writes), thing, data)
            }
            None => return fails(connection, "NOTFOUND"),
        },
        _ => (None, "", ""),
    };
    if writes.is_some() || word == "COMMIT" {
        sleep(ms(WORK_MS));
        let world = stand.world();
        let (leads, term) = (world.leads(at), world.clusters[at.0].term);
        drop(world);
        let lost = |t: &Transaction| !t.reads_only && !(leads && t.term == term);
        let empty_commit = |t: &Transaction| word == "COMMIT" && t.writes.is_empty();
        if connection
            .transaction
            .as_ref()
            .is_some_and(|t| lost(t) && !empty_commit(t))
        {
            if word == "COMMIT" {
                connection.transaction = None;
            }
            return fails(connection, "READONLY");
        }
    }
    connection.stamps += 1;
    let stamp = format!("{server}.{:x}.{:x}", connection.number, connection.stamps);
    match (word, writes) {
        (_, Some(false)) => {
            let own = connection
                .transaction
                .iter()
                .flat_map(|t| t.writes.iter().rev());
            let own = own.into_iter().find(|w| w.0 == thing).map(|w| w.1.clone());
            let mut world = stand.world();
            let logged = world.server(at).log.iter().rev();
            let logged = logged
                .flat_map(|e| e.writes.iter().rev())
                .find(|w| w.0 == thing);
            let value = own.or(logged.map(|w| w.1.clone()));
            Some((value.into_iter().collect(), Ok(stamp)))
        }
        (_, Some(true)) => {
            let write = (thing.to_string(), data.to_string());
            match &mut connection.transaction {
                Some(transaction) if transaction.reads_only => fails(connection, "READONLY"),
                Some(transaction) => {
                    transaction.writes.push(write);
                    Some((Vec::new(), Ok(stamp)))
                }
                None => commit(stand, connection, id, vec![write], stamp),
            }
        }
        ("BEGIN", _) if connection.transaction.is_none() => {
            let reads_only = rest == "FETCH";
            let world = stand.world();
            if !reads_only && !world.leads(at) {
                return Some((Vec::new(), Err("READONLY")));
            }
            let term = world.clusters[at.0].term;
            connection.transaction = Some(Transaction {
                term,
                reads_only,
                bad: false,
                writes: Vec::new(),
            });
            done()
        }
        ("COMMIT", _) => match connection.transaction.take() {
            Some(t) if t.bad => Some((Vec::new(), Err("ABORTED"))),
            Some(t) if t.writes.is_empty() => Some((Vec::new(), Ok(stamp))),
            Some(t) => commit(stand, connection, id, t.writes, stamp),
            None => Some((Vec::new(), Err("MALFORMED"))),
        },
        ("ROLLBACK", _) if connection.transaction.take().is_some() => done(),
        ("SETOPT", _) => done(),
        ("PREPARE", _) => {
            connection
                .names
                .insert(first.into(), (more.starts_with("STORE"), more.into()));
            done()
        }
        ("RELEASE", _) if connection.names.remove(first).is_some() => done(),
        ("RESET", _) => {
            connection.names.clear();
            done()
        }
        ("REPORT", _) => {
            let mut world = stand.world();
            let (role, (term, number)) = (
                if world.leads(at) {
                    "primary"
                } else {
                    "replica"
                },
                world.position(at),
            );
            let held = world.clusters[at.0].term;
            let open = world.server(at).open;
            Some((
                vec![format!("{role} {held} {term}.{number} 0 0 0 {open}")],
                Ok("-".into()),
            ))
        }
        _ => fails(connection, "MALFORMED"),
    }
}

/// Appends to the leader's log, and answers once enough replicas have received it.
fn commit(
    stand: &Stand,
    connection: &Connection,
    id: &str,
    writes: Vec<(String, String)>,
    stamp: String,
) -> Ran {
    let at = connection.at;
    let (number, entry) = {
        let mut world = stand.world();
        if !world.leads(at) {
            return Some((Vec::new(), Err("READONLY")));
        }
        let entry = Entry {
            term: world.clusters[at.0].term,
            id: id.into(),
            writes,
        };
        let log = &mut world.server(at).log;
        log.push(entry.clone());
        (log.len(), entry)
    };
    loop {
        let mut world = stand.world();
        if !world.server(at).up || world.server(at).life != connection.life || !world.leads(at) {
            return None;
        }
        let cluster = &world.clusters[at.0];
        let others = cluster
            .servers
            .iter()
            .enumerate()
            .filter(|(i, s)| *i != at.1 && s.up);
        let holders: Vec<&str> = others
            .filter(|(_, s)| s.log.get(number - 1) == Some(&entry))
            .map(|(_, s)| s.id.as_str())
            .collect();
        if holders.len() >= cluster.sync {
            stand.note(&format!(
                "commit {id} as number {number}, received by {holders:?}"
            ));
            return Some((Vec::new(), Ok(stamp)));
        }
        drop(world);
        sleep(ms(1));
    }
}

// --- heartbeats -------------------------------------------------------------------------------------------------------

/// The status that a call is answered with; 0 for no answer within a second.
fn call(door: &str, method: &str, path: &str, body: &str) -> u16 {
    let ask = || -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&door.parse().ok()?, ms(1000)).ok()?;
        stream.set_read_timeout(Some(ms(1000))).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {door}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        let mut first = String::new();
        BufReader::new(stream).read_line(&mut first).ok()?;
        first.split(' ').nth(1)?.parse().ok()
    };
    ask().unwrap_or(0)
}

fn beats(stand: Arc<Stand>, at: At) {
    let mut turn = at.1;
    loop {
        let (door, id, body, drains) = {
            let mut world = stand.world();
            let doors = world.doors.clone();
            let role = if world.leads(at) {
                "primary"
            } else {
                "replica"
            };
            let name = world.clusters[at.0].name.clone();
            let server = world.server(at);
            if !server.up || server.departed || doors.is_empty() {
                drop(world);
                sleep(ms(20));
                continue;
            }
            server.sequence += 1;
            let state = if server.draining {
                "draining"
            } else {
                "available"
            };
            let body = format!(
                "{{\"backend\":\"{name}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":4,\"state\":\"{state}\",\"warmupLeftMs\":0,\"dbRole\":\"{role}\",\"sequence\":{}}}",
                server.addr, server.zone, server.sequence
            );
            (
                doors[turn % doors.len()].clone(),
                server.id.clone(),
                body,
                server.draining,
            )
        };
        let path = format!("{}{id}", stand.word("instances"));
        let code = call(&door, "PUT", &path, &body);
        if !(200..300).contains(&code) {
            turn += 1;
            sleep(ms(100));
            continue;
        }
        {
            let mut world = stand.world();
            let server = world.server(at);
            if !server.beaten || (drains && !server.drained) {
                stand.note(&format!("beat {body} of {id} acknowledged by {door}"));
            }
            server.beaten = true;
            server.drained |= drains;
        }
        let told = (drains, role_of(&stand, at));
        let since = Instant::now();
        while since.elapsed() < ms(BEAT_MS) {
            sleep(ms(10));
            let draining = stand.world().server(at).draining;
            if (draining, role_of(&stand, at)) != told {
                break;
            }
        }
    }
}

fn role_of(stand: &Stand, at: At) -> bool {
    stand.world().leads(at)
}

// --- the platform's promote call --------------------------------------------------------------------------------------

fn field(body: &str, name: &str) -> Option<String> {
    let after = body.split_once(&format!("\"{name}\""))?.1;
    Some(after.split('"').nth(1)?.to_string())
}

fn platform(stand: Arc<Stand>, addr: String) {
    let listener = match TcpListener::bind(&addr) {
        Ok(listener) => listener,
        Err(error) => return stand.note(&format!("cannot listen at {addr}: {error}")),
    };
    for stream in listener.incoming().flatten() {
        let stand = stand.clone();
        spawn(move || order(&stand, stream));
    }
}

fn order(stand: &Arc<Stand>, stream: TcpStream) -> Option<()> {
    let mut out = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let first = line(&mut reader)?;
    let (mut length, mut fence) = (0, 0);
    loop {
        let header = line(&mut reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        match name.to_ascii_lowercase() {
            name if name == "content-length" => length = value.trim().parse().ok()?,
            name if name == stand.word("fence") => fence = value.trim().parse().ok()?,
            _ => (),
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    let code = decide(
        stand,
        &field(&body, "backend")?,
        &field(&body, "instanceId")?,
        fence,
    );
    stand.note(&format!("platform: {first:?} {body} fence {fence}: {code}"));
    stand.world().calls.push(format!("{body} {fence} {code}"));
    let text = format!("HTTP/1.1 {code} x\r\nContent-Length: 2\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{{}}");
    out.write_all(text.as_bytes()).ok()
}

fn decide(stand: &Arc<Stand>, name: &str, id: &str, fence: u64) -> u16 {
    let mut world = stand.world();
    world.orders.retain(|at| at.elapsed() < ms(1000));
    if world.orders.len() >= ORDERS_EACH_S {
        return 429;
    }
    world.orders.push(Instant::now());
    let highest = *world.fences.get(name).unwrap_or(&0);
    if fence < highest {
        return 409;
    }
    world.fences.insert(name.into(), fence);
    let Some(at) = world.find(id) else { return 409 };
    if world.clusters[at.0].name != name || !world.server(at).up {
        return 409;
    }
    if !world.leads(at) {
        let (stand, id) = (stand.clone(), id.to_string());
        spawn(move || {
            sleep(ms(PROMOTE_MS));
            let mut world = stand.world();
            if !world.server(at).up {
                return;
            }
            world.server(at).deaf = false;
            let cluster = &mut world.clusters[at.0];
            (cluster.term, cluster.lead) = (cluster.term + 1, Some(at.1));
            let text = log_of(&world, at);
            stand.note(&format!("{id} leads; {text}"));
        });
    }
    200
}

// --- commands ---------------------------------------------------------------------------------------------------------

fn log_of(world: &World, at: At) -> String {
    let server = &world.clusters[at.0].servers[at.1];
    let data: Vec<&str> = server
        .log
        .iter()
        .flat_map(|e| &e.writes)
        .map(|w| w.1.as_str())
        .collect();
    format!("log of {}: {}", server.id, data.join(" "))
}

fn obey(stand: &Arc<Stand>, command: &str) -> Option<String> {
    let fields: Vec<&str> = command.split(' ').collect();
    let arg = |i: usize| fields.get(i).map(|f| f.to_string());
    let at = || {
        let world = stand.world();
        world.find(fields.get(1)?)
    };
    let ok = Some("ok".to_string());
    match *fields.first()? {
        "doors" => {
            stand.world().doors = arg(1)?.split(',').map(String::from).collect();
            ok
        }
        "platform" => {
            let (stand, addr) = (stand.clone(), arg(1)?);
            spawn(move || platform(stand, addr));
            ok
        }
        "cluster" => {
            let (name, sync) = (arg(1)?, arg(2)?.parse().ok()?);
            stand.world().clusters.push(Cluster {
                name,
                sync,
                term: 1,
                lead: None,
                servers: Vec::new(),
            });
            ok
        }
        "server" => {
            let at = {
                let mut world = stand.world();
                let c = world.clusters.iter().position(|c| c.name == fields[1])?;
                let cluster = &mut world.clusters[c];
                cluster.servers.push(Server {
                    id: arg(2)?,
                    addr: arg(3)?,
                    zone: arg(4)?,
                    up: true,
                    deaf: false,
                    draining: false,
                    departed: false,
                    beaten: false,
                    drained: false,
                    sequence: 0,
                    life: 0,
                    streams: Vec::new(),
                    open: 0,
                    log: Vec::new(),
                });
                let s = cluster.servers.len() - 1;
                if fields.get(5) == Some(&"lead") {
                    cluster.lead = Some(s);
                }
                (c, s)
            };
            let (first, second) = (stand.clone(), stand.clone());
            spawn(move || listen(first, at));
            spawn(move || beats(second, at));
            ok
        }
        "deaf" => {
            let at = at()?;
            stand.world().server(at).deaf = fields.get(2) == Some(&"1");
            ok
        }
        "drain" => {
            let at = at()?;
            stand.world().server(at).draining = true;
            ok
        }
        "delete" => {
            let at = at()?;
            stand.world().server(at).departed = true;
            let doors = stand.world().doors.clone();
            let path = format!("{}{}", stand.word("instances"), fields[1]);
            let told = (0..8).any(|i| {
                let code = call(&doors[i % doors.len()], "DELETE", &path, "");
                stand.note(&format!("DELETE of {} answered {code}", fields[1]));
                (200..300).contains(&code)
            });
            told.then_some("ok".into())
        }
        "end" | "crash" => {
            let mut world = stand.world();
            let at = world.find(fields.get(1)?)?;
            world.server(at).up = false;
            world.cut(at);
            ok
        }
        "back" => {
            let at = at()?;
            stand.world().server(at).up = true;
            let stand = stand.clone();
            spawn(move || listen(stand, at));
            ok
        }
        "beaten" => {
            let at = at()?;
            Some(stand.world().server(at).beaten.to_string())
        }
        "drained" => {
            let at = at()?;
            Some(stand.world().server(at).drained.to_string())
        }
        "lead" => {
            let world = stand.world();
            let cluster = world.clusters.iter().find(|c| c.name == fields[1])?;
            Some(
                cluster
                    .lead
                    .map_or("none".into(), |l| cluster.servers[l].id.clone()),
            )
        }
        "log" => {
            let at = at()?;
            Some(log_of(&stand.world(), at))
        }
        "calls" => Some(stand.world().calls.len().to_string()),
        _ => None,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let text = std::fs::read_to_string(&arguments[1]).expect("the words");
    let words = text
        .lines()
        .filter_map(|l| l.split_once('='))
        .map(|(k, v)| (k.into(), v.into()))
        .collect();
    let record = File::options()
        .create(true)
        .append(true)
        .open(&arguments[2])
        .expect("the record");
    let stand = Arc::new(Stand {
        world: Mutex::default(),
        record: Mutex::new(record),
        words,
    });
    let second = stand.clone();
    spawn(move || replicator(second));
    for command in std::io::stdin().lines().map_while(Result::ok) {
        if command == "quit" {
            break;
        }
        let answer = obey(&stand, &command).unwrap_or_else(|| "failed".into());
        if !matches!(
            command.split(' ').next(),
            Some("lead" | "log" | "beaten" | "drained" | "calls")
        ) {
            stand.note(&format!("command {command:?}: {answer}"));
        }
        println!("{answer}");
    }
}
