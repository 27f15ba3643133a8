//! Statements and commits as a server runs them.

use super::serving::{ran, refused, Place};
use super::{shared, split, Conn, Flaw, Fleet, Run};
use tenet::query::{BackRes, Refusal};

/// One in so many writes goes wrong under a flaw that concerns writes.
const FLAWED_WRITE: usize = 40;
/// One in so many answers goes wrong under `Flaw::OthersAnswer`.
const FLAWED_ANSWER: usize = 50;
/// Whose answer is then given: that of so many statements before.
const ANSWERS_BACK: usize = 7;

/// A statement to run.
pub(super) struct Statement<'a> {
    /// Id and text.
    pub body: &'a str,
    /// Whether the log must hold some position.
    pub guarded: bool,
    /// Whether it doesn't hold it yet.
    pub behind: bool,
}

/// A statement as it ran: its id and text, the prepared text it executed, the rows that it gave.
struct Ran<'a> {
    body: &'a str,
    shape: Option<String>,
    rows: &'a str,
}

impl Fleet {
    pub(super) fn commit(
        &mut self,
        place: Place,
        conn: &mut Conn,
        body: &str,
        aborted: bool,
    ) -> BackRes {
        let Some(txn) = &conn.txn else {
            return refused(Refusal::Failed, "MALFORMED");
        };
        let puts = txn.puts.clone();
        if aborted && !puts.is_empty() {
            conn.txn = None;
            return refused(Refusal::NotLeading, "READONLY");
        }
        self.keep(place, split(body).0, puts);
        let ran = Ran {
            body,
            shape: None,
            rows: "",
        };
        let answer = self.note(place, conn, ran);
        conn.txn = None;
        self.flawed_refusal(answer)
    }

    pub(super) fn run(&mut self, place: Place, conn: &mut Conn, statement: Statement) -> BackRes {
        let body = statement.body;
        let (id, text) = split(body);
        let (mut word, mut rest) = split(text);
        let mut shape = None;
        if word == "EXECUTE" {
            let (name, args) = split(rest);
            shape = conn.names.get(name).cloned();
            if shape.is_none() {
                let shape = Some("none".into());
                let rows = "";
                self.note(place, conn, Ran { body, shape, rows });
                return refused(Refusal::Failed, "NOTFOUND");
            }
            word = shape.as_deref().map_or("", |shape| split(shape).0);
            rest = args;
        }
        let (key, value) = split(rest);
        if word == "FETCH" {
            if statement.behind {
                return refused(Refusal::Behind, "LAGGING");
            }
            let row = self.row(place, conn, key);
            let rows = &row.map_or(String::new(), |row| format!("ROW {row} "));
            return self.note(place, conn, Ran { body, shape, rows });
        }
        if statement.guarded {
            self.faults
                .push(format!("unasked: {id} writes under a guard"));
        }
        let put = (key.to_string(), value.to_string());
        match conn.txn.as_mut() {
            Some(txn) => txn.puts.push(put),
            None if !self.servers[place.server].leads => {
                return refused(Refusal::NotLeading, "READONLY")
            }
            None => self.keep(place, id, vec![put]),
        }
        let rows = "";
        let answer = self.note(place, conn, Ran { body, shape, rows });
        match conn.txn {
            Some(_) => answer,
            None => self.flawed_refusal(answer),
        }
    }

    /// The value of a key, as the open transaction sees it.
    fn row(&self, place: Place, conn: &Conn, key: &str) -> Option<String> {
        let own = conn.txn.iter().flat_map(|txn| txn.puts.iter().rev());
        let mut written = own.filter(|put| put.0 == key).map(|put| &put.1);
        let data = &self.servers[place.server].data;
        written.next().or_else(|| data.get(key)).cloned()
    }

    /// Notes what ran, and answers it.
    fn note(&mut self, place: Place, conn: &Conn, ran_now: Ran) -> BackRes {
        let (id, text) = split(ran_now.body);
        let server = &self.servers[place.server];
        let leader = &self.servers[self.leader[&server.service]];
        let holds = shared(&server.log[..server.applied], &leader.log);
        let shown = server.shown();
        let number = self.runs.len();
        let mut answer = format!(
            "{}COMPLETE {}.{}.{number:x}",
            ran_now.rows, server.name, server.term
        );
        if self.flaw == Flaw::OthersAnswer && number % FLAWED_ANSWER == FLAWED_ANSWER - 1 {
            answer = self.runs[number - ANSWERS_BACK].body.clone();
        }
        self.runs.push(Run {
            at: place.now,
            server: place.server,
            conn: place.conn,
            txn: conn.txn.as_ref().map(|txn| txn.serial),
            id: id.into(),
            text: text.into(),
            shape: ran_now.shape,
            options: conn.options.clone(),
            holds,
            body: answer.clone(),
        });
        ran(shown, answer)
    }

    fn flawed_write(&self, flaw: Flaw) -> bool {
        self.flaw == flaw && self.kept.len() % FLAWED_WRITE == FLAWED_WRITE - 1
    }

    fn keep(&mut self, place: Place, id: &str, puts: Vec<(String, String)>) {
        let times = match self.flawed_write(Flaw::WrittenTwice) {
            _ if puts.is_empty() => 0,
            true => 2,
            false => 1,
        };
        for _ in 0..times {
            self.servers[place.server].append(place.now, id, puts.clone());
            self.kept.push((place.now, id.into()));
        }
    }

    /// Under `Flaw::KeptAndRefused` some writes are refused though they took effect.
    fn flawed_refusal(&self, answer: BackRes) -> BackRes {
        match self.flawed_write(Flaw::KeptAndRefused) {
            true => refused(Refusal::NotLeading, "READONLY"),
            false => answer,
        }
    }
}
