//! Stand-ins for a small deployment, as the users' pages have them: one service with its servers, the
//! platform, an operator and clients. `main.rs` plays one scenario and judges it.
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod http;
mod loss;
mod moved;
mod service;
mod texts;
mod wire;

use service::{Service, Words};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wire::{cut, Line};

/// How long a run may take.
const MOST: Duration = Duration::from_secs(100);

/// What the scenarios work with.
pub struct Stage {
    pub arguments: BTreeMap<String, String>,
    pub service: Arc<Service>,
    pub fronts: Vec<String>,
    pub controls: Vec<String>,
    /// The route that clients name.
    pub host: String,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// How a statement ended for a client.
#[derive(Debug)]
pub enum End {
    Done { stamp: String, rows: Vec<String> },
    Refused(String),
    /// No complete answer came.
    Cut,
}

/// A client's session.
pub struct Client {
    line: Line,
    pub state: char,
}

impl Client {
    pub fn open(front: &str, host: &str, who: &str) -> Option<Client> {
        let tcp = TcpStream::connect(front).ok()?;
        tcp.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        let mut line = Line::new(tcp);
        let asked = line.send(&format!("CONNECT {host} {who}\r\n"));
        let answer = line.read().filter(|_| asked)?;
        answer.starts_with("READY").then_some(Client { line, state: 'I' })
    }

    pub fn ask(&mut self, id: &str, text: &str) -> End {
        if !self.line.send(&format!("QUERY {id} {text}\r\n")) {
            return End::Cut;
        }
        let (mut rows, mut end) = (Vec::new(), None);
        while let Some(line) = self.line.read() {
            let (word, rest) = cut(&line);
            match word {
                "ROW" => rows.push(rest.to_string()),
                "COMPLETE" => {
                    end = Some(End::Done {
                        stamp: rest.into(),
                        rows: std::mem::take(&mut rows),
                    })
                }
                "ERROR" => end = Some(End::Refused(rest.into())),
                "READY" => {
                    self.state = rest.chars().next().unwrap_or('?');
                    return end.unwrap_or(End::Cut);
                }
                _ => return End::Cut,
            }
        }
        End::Cut
    }

    /// An answer that came although nothing was asked any more.
    pub fn unasked(&mut self, wait_ms: u64) -> Vec<String> {
        let _ = self.line.tcp.set_read_timeout(Some(Duration::from_millis(wait_ms)));
        let mut all = Vec::new();
        while let Some(line) = self.line.read() {
            all.push(line);
        }
        all
    }
}

/// Ends the run: the case could not be played.
pub fn unplayed(stage: &Stage, why: &str) -> ! {
    stage.service.note(&format!("could not run: {why}"));
    exit(2)
}

impl Stage {
    pub fn argument(&self, name: &str) -> &str {
        self.arguments.get(name).map_or("", String::as_str)
    }

    /// An order of the operator, sent again to the next node until it is acknowledged.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> bool {
        let began = Instant::now();
        let mut at = 0;
        while began.elapsed() < limit {
            let to = &self.controls[at % self.controls.len()];
            let answer = http::call(to, method, path, body, 1000);
            let code = answer.as_ref().map(|a| a.0);
            self.service.note(&format!("operator: {method} {path} at {to}: {code:?}"));
            match code {
                Some(code) if code / 100 == 2 => return true,
                Some(400 | 409 | 412 | 413 | 422) => return false,
                _ => (),
            }
            at += 1;
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// The fleet has a configuration, is ready and runs a first write.
    fn begin(&self) {
        let document = fs::read_to_string(self.argument("document")).unwrap_or_default();
        let path = self.service.words["config"].clone();
        if !self.order("PUT", &path, &document, Duration::from_secs(25)) {
            unplayed(self, "no configuration was taken");
        }
        let began = Instant::now();
        for address in self.argument("readiness").split(',') {
            let ready = || http::call(address, "GET", &self.service.words["ready"], "", 900);
            while ready().is_none_or(|a| a.0 != 200) {
                if began.elapsed() > Duration::from_secs(25) {
                    unplayed(self, "a node is not ready");
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        for front in &self.fronts {
            loop {
                let client = Client::open(front, &self.host, "first");
                let id = format!("first{}", self.service.number());
                let end = client.map(|mut c| c.ask(&id, "STORE first 1"));
                if matches!(end, Some(End::Done { .. })) {
                    break;
                }
                if began.elapsed() > Duration::from_secs(40) {
                    unplayed(self, "no write is served");
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        self.service.note("the fleet serves");
    }

    /// Says what was found, and ends the run.
    pub fn judge(&self, broken: &[String], checked: &str) -> ! {
        for text in broken.iter().take(20) {
            self.service.note(&format!("BROKEN {text}"));
        }
        self.service.note(&format!("{checked}; rule broken: {}", broken.len()));
        println!("{checked}; rule broken: {} times", broken.len());
        exit(i32::from(!broken.is_empty()))
    }
}

fn list(text: &str) -> Vec<String> {
    text.split(',').map(String::from).collect()
}

fn pairs(text: &str) -> BTreeMap<String, String> {
    let pair = |l: &str| l.split_once('=').map(|(k, v)| (k.to_string(), v.to_string()));
    text.lines().filter_map(pair).collect()
}

fn main() {
    let arguments = pairs(&std::env::args().skip(1).collect::<Vec<_>>().join("\n"));
    let get = |name: &str| arguments.get(name).cloned().unwrap_or_default();
    let words: Words = pairs(&fs::read_to_string(get("words")).expect("words"));
    let record = File::create(get("record")).expect("record");
    let (servers, zones) = (list(&get("servers")), list(&get("zones")));
    let at: Vec<(String, String)> = servers.into_iter().zip(zones).collect();
    let lag = Duration::from_millis(get("lag").parse().unwrap_or(60));
    let more = record.try_clone().expect("record");
    let service = Service::new(&get("service"), get("sync") == "1", words.clone(), &at, lag, record);
    let other: Vec<(String, String)> = list(&get("others")).into_iter().zip(list(&get("zones"))).collect();
    if other.len() == at.len() {
        let second = Service::new(&get("second"), false, words, &other, lag, more);
        second.beat(&list(&get("controls")));
    }
    service.platform(&get("platform"));
    let stage = Stage {
        service: service.clone(),
        fronts: list(&get("fronts")),
        controls: list(&get("controls")),
        host: get("host"),
        trouble: get("trouble") != "0",
        arguments,
    };
    thread::spawn(|| {
        thread::sleep(MOST);
        exit(2)
    });
    service.beat(&stage.controls);
    stage.begin();
    match stage.argument("scenario") {
        "loss" => loss::play(&stage),
        "moved" => moved::play(&stage),
        "break" => texts::line_feed(&stage),
        "collide" => texts::collide(&stage),
        other => unplayed(&stage, &format!("no scenario '{other}'")),
    }
}
