//! One service: a primary and its replicas, each with its log; and what they record.

use crate::http;
use crate::wire::{cut, Line};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Words of the platform, from a file.
pub type Words = BTreeMap<String, String>;

/// A commit in a log.
pub struct Entry {
    pub commit: String,
    pub term: u64,
}

pub struct Server {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub log: Vec<(Arc<Entry>, Instant)>,
    applied: usize,
    term: u64,
    pub up: bool,
    /// It receives nothing.
    pub deaf: bool,
    /// How long entries take to it.
    pub net: Duration,
    pub draining: bool,
    /// Its announcements have ended with a DELETE.
    pub gone: bool,
    life: u64,
    open: Vec<TcpStream>,
}

pub struct State {
    term: u64,
    pub lead: Option<usize>,
    src: usize,
    pub servers: Vec<Server>,
    /// By promotion: the server, and the commits of its log.
    pub promoted: Vec<(usize, Vec<String>)>,
}

pub struct Service {
    pub name: String,
    pub sync: bool,
    pub words: Words,
    state: Mutex<State>,
    moved: Condvar,
    record: Mutex<File>,
    began: Instant,
    next: AtomicU64,
    /// What broke a rule at a server, as it was seen there.
    pub broken: Mutex<Vec<String>>,
    /// Text of each statement by its id, as a server ran it.
    pub ran: Mutex<Vec<(String, String)>>,
    /// By read: the server that ran it, and how many commits it had applied.
    pub reads: Mutex<Vec<(String, usize, usize)>>,
    lag: Duration,
}

/// How long entries take to the other servers, where nothing else is said.
const NET: Duration = Duration::from_millis(12);
const WORK: Duration = Duration::from_millis(3);
const HELLO: Duration = Duration::from_millis(12);
const PROMOTE: Duration = Duration::from_millis(600);

struct Txn {
    term: u64,
    reads: bool,
    bad: bool,
    writes: usize,
}

#[derive(Default)]
struct Session {
    options: BTreeMap<String, String>,
    names: HashMap<String, String>,
    txn: Option<Txn>,
}

enum Out {
    Done(Vec<String>, String),
    Refused(&'static str),
    /// The connection breaks off.
    Gone,
}

impl Service {
    pub fn new(name: &str, sync: bool, words: Words, at: &[(String, String)], lag: Duration, record: File) -> Arc<Service> {
        let servers = at.iter().enumerate().map(|(i, (addr, zone))| Server {
            id: format!("i-{:04x}{}{i}", std::process::id() & 0xffff, &name[..2]),
            addr: addr.clone(),
            zone: zone.clone(),
            log: Vec::new(),
            applied: 0,
            term: 1,
            up: true,
            deaf: false,
            net: NET,
            draining: false,
            gone: false,
            life: 0,
            open: Vec::new(),
        });
        let state = State {
            term: 1,
            lead: Some(0),
            src: 0,
            servers: servers.collect(),
            promoted: Vec::new(),
        };
        let service = Arc::new(Service {
            name: name.into(),
            sync,
            words,
            state: Mutex::new(state),
            moved: Condvar::new(),
            record: Mutex::new(record),
            began: Instant::now(),
            next: AtomicU64::new(1),
            broken: Mutex::default(),
            ran: Mutex::default(),
            reads: Mutex::default(),
            lag,
        });
        for i in 0..at.len() {
            let ear = TcpListener::bind(&at[i].0).expect("listen");
            let me = service.clone();
            thread::spawn(move || me.accept(i, ear));
        }
        let me = service.clone();
        thread::spawn(move || me.replicate());
        service
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.record.lock().unwrap(), "{at:>7} {text}");
    }

    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn break_rule(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.broken.lock().unwrap().push(text);
    }

    /// What was committed `net` ago arrives, what arrived `lag` ago is applied.
    fn replicate(&self) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let now = Instant::now();
            let mut g = self.state();
            let st = &mut *g;
            let (src, term) = (st.src, st.term);
            let source = st.servers[src].up;
            for i in 0..st.servers.len() {
                if i == src || !st.servers[i].up {
                    continue;
                }
                if source && !st.servers[i].deaf {
                    let from = st.servers[i].log.len();
                    let log = st.servers[src].log.get(from..).unwrap_or(&[]);
                    let net = st.servers[i].net;
                    let due = log.iter().take_while(|(_, at)| *at + net <= now);
                    let new: Vec<_> = due.map(|(e, _)| (e.clone(), now)).collect();
                    st.servers[i].log.extend(new);
                    st.servers[i].term = term;
                }
                let s = &mut st.servers[i];
                let more = s.log[s.applied..].iter().take_while(|(_, at)| *at + self.lag <= now);
                s.applied += more.count();
            }
            drop(g);
            self.moved.notify_all();
        }
    }

    /// Ends a server; its log stays.
    pub fn crash(&self, i: usize) {
        let mut g = self.state();
        let s = &mut g.servers[i];
        (s.up, s.life) = (false, s.life + 1);
        for tcp in s.open.drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
        drop(g);
        self.moved.notify_all();
    }

    pub fn back(&self, i: usize) {
        self.state().servers[i].up = true;
    }

    /// The server leads the next term with what it had received, and nothing more.
    fn promote(&self, id: &str) {
        let mut g = self.state();
        let st = &mut *g;
        let found = st.servers.iter().position(|s| s.id == id && s.up);
        let Some(i) = found.filter(|i| st.lead != Some(*i)) else {
            return;
        };
        st.term += 1;
        (st.lead, st.src) = (Some(i), i);
        let to = st.servers[i].log.len();
        for s in st.servers.iter_mut() {
            s.log.truncate(to);
            s.applied = s.applied.min(s.log.len());
        }
        let term = st.term;
        let s = &mut st.servers[i];
        (s.applied, s.term, s.deaf) = (to, term, false);
        let log: Vec<String> = s.log.iter().map(|(e, _)| e.commit.clone()).collect();
        let text = format!("{id} leads term {term} with {} commits", log.len());
        st.promoted.push((i, log));
        drop(g);
        self.note(&text);
        self.moved.notify_all();
    }

    /// The platform: its call that replaces a primary.
    pub fn platform(self: &Arc<Self>, at: &str) {
        let me = self.clone();
        let newest: Arc<Mutex<u64>> = Arc::default();
        http::serve(at, move |heard| {
            let fence = heard.header(&me.words["fence"]).and_then(|f| f.parse::<u64>().ok());
            let (Some(fence), Some(id)) = (fence, heard.field("instanceId")) else {
                return (400, "{}".into());
            };
            let mut newest = newest.lock().unwrap();
            let known = me.state().servers.iter().any(|s| s.id == id && s.up);
            let code = if fence < *newest || !known { 409 } else { 200 };
            *newest = fence.max(*newest);
            me.note(&format!("platform: {} {} {id} fence {fence}: {code}", heard.method, heard.path));
            if code == 200 {
                let me = me.clone();
                thread::spawn(move || {
                    thread::sleep(PROMOTE);
                    me.promote(&id);
                });
            }
            (code, "{}".into())
        });
    }

    /// Announcements of all servers, to the control addresses in turn.
    pub fn beat(self: &Arc<Self>, controls: &[String]) {
        let count = self.state().servers.len();
        for i in 0..count {
            let (me, controls) = (self.clone(), controls.to_vec());
            thread::spawn(move || {
                let (mut at, mut sequence, mut told) = (i, 0, (String::new(), Instant::now()));
                loop {
                    thread::sleep(Duration::from_millis(50));
                    let (id, body, says, silent) = {
                        let g = me.state();
                        let s = &g.servers[i];
                        let role = if g.lead == Some(i) { "primary" } else { "replica" };
                        let state = if s.draining { "draining" } else { "available" };
                        let body = format!(
                            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\
                             \"capacity\":4,\"state\":\"{state}\",\"warmupLeftMs\":0,\"dbRole\":\"{role}\",\
                             \"sequence\":{}}}",
                            me.name, s.addr, s.zone, sequence + 1
                        );
                        (s.id.clone(), body, format!("{role} {state}"), !s.up || s.gone)
                    };
                    if silent || (told.0 == says && told.1.elapsed() < Duration::from_millis(1200)) {
                        continue;
                    }
                    sequence += 1;
                    let path = format!("{}{id}", me.words["beat"]);
                    match http::call(&controls[at % controls.len()], "PUT", &path, &body, 1000) {
                        Some((code, _)) if code / 100 == 2 => {
                            if told.0 != says {
                                me.note(&format!("{id} is told of as {says}"));
                            }
                            told = (says, Instant::now());
                        }
                        _ => at += 1,
                    }
                }
            });
        }
    }

    fn accept(self: Arc<Self>, i: usize, ear: TcpListener) {
        for tcp in ear.incoming().flatten() {
            let mut g = self.state();
            let s = &mut g.servers[i];
            if !s.up {
                continue;
            }
            s.open.extend(tcp.try_clone());
            let (life, me) = (s.life, self.clone());
            drop(g);
            thread::spawn(move || me.converse(i, life, Line::new(tcp)));
        }
    }

    fn lives(&self, i: usize, life: u64) -> bool {
        let g = self.state();
        g.servers[i].up && g.servers[i].life == life
    }

    fn shown(&self, i: usize) -> String {
        let g = self.state();
        let s = &g.servers[i];
        place(&s.log, s.applied)
    }

    fn converse(&self, i: usize, life: u64, mut line: Line) {
        let Some(hello) = line.read() else { return };
        let id = self.state().servers[i].id.clone();
        let fields: Vec<&str> = hello.split(' ').collect();
        if fields.first() != Some(&"CONNECT") {
            return;
        }
        let wrong = fields.get(1) != Some(&self.name.as_str()) || fields.get(3).is_some_and(|x| *x != id);
        if wrong {
            line.send(&format!("ERROR WRONGHOST {id}\r\n"));
            return;
        }
        thread::sleep(HELLO);
        let mut session = Session::default();
        if !line.send(&format!("READY I {}\r\n", self.shown(i))) {
            return;
        }
        while let Some(message) = line.read() {
            let (word, rest) = cut(&message);
            if word != "QUERY" || !self.lives(i, life) {
                return;
            }
            let (statement, text) = cut(rest);
            let out = self.query(i, life, &mut session, statement, text);
            if !self.lives(i, life) {
                return;
            }
            let state = match &session.txn {
                None => 'I',
                Some(t) if t.bad => 'E',
                Some(_) => 'T',
            };
            let mut answer: String = match out {
                Out::Gone => return,
                Out::Refused(code) => format!("ERROR {code} {id}\r\n"),
                Out::Done(rows, stamp) => {
                    let rows: String = rows.iter().map(|r| format!("ROW {r}\r\n")).collect();
                    format!("{rows}COMPLETE {stamp}\r\n")
                }
            };
            answer += &format!("READY {state} {}\r\n", self.shown(i));
            if !line.send(&answer) {
                return;
            }
        }
    }

    fn query(&self, i: usize, life: u64, session: &mut Session, id: &str, text: &str) -> Out {
        let (word, rest) = cut(text);
        let (guard, text) = match word == self.words["wait"] {
            true => cut(rest),
            false => ("", text),
        };
        if !guard.is_empty() {
            let g = self.state();
            let s = &g.servers[i];
            let number = guard.split_once('.').and_then(|(_, n)| n.parse::<usize>().ok()).unwrap_or(0);
            if number > s.applied || (number > 0 && place(&s.log, number) != guard) {
                return refuse(session, "LAGGING");
            }
        }
        let (word, rest) = cut(text);
        if session.txn.as_ref().is_some_and(|t| t.bad) && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Out::Refused("MALFORMED");
        }
        if matches!(word, "FETCH" | "STORE" | "EXECUTE" | "COMMIT") {
            thread::sleep(WORK);
            if !self.lives(i, life) {
                return Out::Gone;
            }
            self.ran.lock().unwrap().push((id.into(), text.into()));
            let applied = self.state().servers[i].applied;
            self.reads.lock().unwrap().push((id.into(), i, applied));
            self.note(&format!("server {i} runs {id} {}", text.escape_debug()));
        }
        let done = || Out::Done(Vec::new(), "-".into());
        let (name, more) = cut(rest);
        match word {
            "BEGIN" => {
                let (leads, term) = {
                    let g = self.state();
                    (g.lead == Some(i), g.term)
                };
                if rest != "FETCH" && !leads {
                    return Out::Refused("READONLY");
                }
                session.txn = Some(Txn {
                    term,
                    reads: rest == "FETCH",
                    bad: false,
                    writes: 0,
                });
                done()
            }
            "ROLLBACK" => {
                session.txn = None;
                done()
            }
            "COMMIT" => match session.txn.take() {
                None => Out::Refused("MALFORMED"),
                Some(t) if t.bad => Out::Refused("ABORTED"),
                Some(t) if t.writes == 0 => Out::Done(Vec::new(), self.stamp()),
                Some(t) => self.append(i, life, Some(t.term), id),
            },
            "FETCH" => self.read(i, session),
            "STORE" => self.write(i, life, session, id),
            "SETOPT" => {
                session.options.insert(name.into(), more.into());
                done()
            }
            "PREPARE" => {
                session.names.insert(name.into(), more.into());
                done()
            }
            "RELEASE" => {
                session.names.remove(name);
                done()
            }
            "RESET" => {
                session.options.clear();
                session.names.clear();
                done()
            }
            "EXECUTE" => match session.names.get(name).cloned() {
                None => {
                    self.break_rule(format!(
                        "PINNED: {id} executes {name} on a connection without it; its options are {:?}",
                        session.options
                    ));
                    refuse(session, "NOTFOUND")
                }
                Some(shape) if shape.starts_with("STORE") => self.write(i, life, session, id),
                Some(_) => self.read(i, session),
            },
            "REPORT" => {
                let g = self.state();
                let s = &g.servers[i];
                let role = if g.lead == Some(i) { "primary" } else { "replica" };
                let got = place(&s.log, s.log.len());
                Out::Done(vec![format!("{role} {} {got} 0 0 0 {}", s.term, s.open.len())], "-".into())
            }
            _ => Out::Refused("MALFORMED"),
        }
    }

    fn stamp(&self) -> String {
        format!("{:x}.{:x}", std::process::id(), self.number())
    }

    fn read(&self, i: usize, session: &mut Session) -> Out {
        let lost = session.txn.as_ref().is_some_and(|t| {
            let g = self.state();
            !t.reads && (g.lead != Some(i) || g.term != t.term)
        });
        match lost {
            true => refuse(session, "READONLY"),
            false => Out::Done(vec!["value".into()], self.stamp()),
        }
    }

    fn write(&self, i: usize, life: u64, session: &mut Session, id: &str) -> Out {
        if let Some(t) = session.txn.as_mut() {
            let g = self.state();
            if t.reads || g.lead != Some(i) || g.term != t.term {
                drop(g);
                return refuse(session, "READONLY");
            }
            t.writes += 1;
            drop(g);
            return Out::Done(Vec::new(), self.stamp());
        }
        self.append(i, life, None, id)
    }

    /// Commits; with `sync` it is answered as soon as one replica has received it.
    fn append(&self, i: usize, life: u64, term: Option<u64>, id: &str) -> Out {
        let mut g = self.state();
        if g.lead != Some(i) || !g.servers[i].up || term.is_some_and(|t| t != g.term) {
            return Out::Refused("READONLY");
        }
        let entry = Arc::new(Entry {
            commit: id.into(),
            term: g.term,
        });
        g.servers[i].log.push((entry, Instant::now()));
        let number = g.servers[i].log.len();
        g.servers[i].applied = number;
        while self.sync {
            if g.lead != Some(i) || !g.servers[i].up || g.servers[i].life != life {
                return Out::Gone;
            }
            let held = |(j, s): (usize, &Server)| j != i && s.log.len() >= number;
            if g.servers.iter().enumerate().any(held) {
                break;
            }
            g = self.moved.wait(g).unwrap();
        }
        drop(g);
        Out::Done(Vec::new(), self.stamp())
    }
}

/// The position after `count` commits.
fn place(log: &[(Arc<Entry>, Instant)], count: usize) -> String {
    match count.checked_sub(1).and_then(|last| log.get(last)) {
        Some((e, _)) => format!("{}.{count}", e.term),
        None => "1.0".into(),
    }
}

fn refuse(session: &mut Session, code: &'static str) -> Out {
    if let Some(t) = session.txn.as_mut() {
        t.bad = true;
    }
    Out::Refused(code)
}
