//! What a stand-in server holds: its log, the rows that follow from it, and outcomes by id.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use tenet::base::digest;

/// Most entries that one step of replication copies.
const ENTRIES_PER_STEP: usize = 2000;

/// One entry of a log.
#[derive(Clone)]
pub struct Line {
    /// Id of the request that it came from; may be empty.
    pub id: String,
    /// Digest of its operations.
    pub digest: u64,
    /// Its operations, in order.
    pub ops: Vec<Value>,
    /// Result of the last operation.
    pub result: Value,
    /// When it was written, ms.
    pub at: u64,
    /// Name of the server that wrote it.
    pub by: String,
}

impl Line {
    fn same(&self, other: &Line) -> bool {
        self.id == other.id
            && self.at == other.at
            && self.by == other.by
            && self.digest == other.digest
    }
}

/// A log with its rows.
#[derive(Clone, Default)]
pub struct Store {
    /// All entries, oldest first.
    pub log: Vec<Line>,
    rows: BTreeMap<String, i64>,
    outcomes: BTreeMap<String, usize>,
}

fn key(op: &Value) -> &str {
    op["key"].as_str().unwrap_or("")
}

fn value(op: &Value) -> i64 {
    op["value"].as_i64().unwrap_or(0)
}

impl Store {
    /// Position of the last entry; 0 for an empty log.
    pub fn pos(&self) -> u64 {
        self.log.len() as u64
    }

    /// Position and entry of a request, if its id is known.
    pub fn outcome(&self, id: &str) -> Option<(u64, &Line)> {
        let index = *self.outcomes.get(id)?;
        Some((index as u64 + 1, &self.log[index]))
    }

    /// Value of a row; 0 for one that was never written.
    pub fn get(&self, key: &str) -> i64 {
        self.rows.get(key).copied().unwrap_or(0)
    }

    fn apply(&mut self, op: &Value) {
        let row = self.rows.entry(key(op).into()).or_insert(0);
        match op["op"].as_str() {
            Some("put") => *row = value(op),
            Some("add") => *row += value(op),
            _ => (),
        }
    }

    /// Reads a row as a transaction sees it that has the writes `pending`.
    pub fn read(&self, pending: &[Value], op: &Value) -> Value {
        let key_read = key(op);
        let own = pending.iter().filter(|write| key(write) == key_read);
        let seen = own.fold(self.get(key_read), |seen, write| {
            match write["op"] == "put" {
                true => value(write),
                false => seen + value(write),
            }
        });
        json!(seen)
    }

    /// Writes an entry, and returns its position and result.
    pub fn write(&mut self, at: u64, by: &str, id: &str, ops: Vec<Value>) -> (u64, Value) {
        ops.iter().for_each(|op| self.apply(op));
        let result = ops
            .last()
            .map_or(Value::Null, |op| json!(self.get(key(op))));
        self.push(Line {
            id: id.into(),
            digest: digest_ops(&ops),
            ops,
            result: result.clone(),
            at,
            by: by.into(),
        });
        (self.pos(), result)
    }

    /// Appends an entry that another server wrote.
    pub fn put_line(&mut self, line: Line) {
        line.ops.iter().for_each(|op| self.apply(op));
        self.push(line);
    }

    fn push(&mut self, line: Line) {
        if !line.id.is_empty() {
            self.outcomes.insert(line.id.clone(), self.log.len());
        }
        self.log.push(line);
    }

    /// Whether this log is a beginning of the other one.
    pub fn prefix_of(&self, other: &Store) -> bool {
        let len = self.log.len();
        len <= other.log.len() && (len == 0 || self.log[len - 1].same(&other.log[len - 1]))
    }

    /// The entries after the first `from`, as many as one step of replication copies.
    pub fn clone_tail(&self, from: usize) -> Vec<Line> {
        let tail = self.log.get(from..).unwrap_or_default();
        tail.iter().take(ENTRIES_PER_STEP).cloned().collect()
    }

    /// Appends entries as long as they are `ripe`.
    pub fn take(&mut self, lines: Vec<Line>, ripe: impl Fn(&Line) -> bool) {
        lines
            .into_iter()
            .take_while(ripe)
            .for_each(|line| self.put_line(line));
    }
}

/// Digest of the operations of an entry, to know a request that was sent again.
pub fn digest_ops(ops: &[Value]) -> u64 {
    digest(Value::Array(ops.to_vec()).to_string().as_bytes())
}
