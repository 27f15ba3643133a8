use serde_json::{json, Value};
use std::collections::BTreeMap;
use tenet::base::digest;

#[derive(Clone)]
pub struct Line {
    pub id: String,
    pub digest: u64,
    pub ops: Vec<Value>,
    pub result: Value,
    pub at: u64,
    pub by: String,
}

#[derive(Clone, Default)]
pub struct Store {
    pub log: Vec<Line>,
    rows: BTreeMap<String, i64>,
    outcomes: BTreeMap<String, usize>,
}

fn key(op: &Value) -> &str {
    op["key"].as_str().unwrap_or("")
}

pub fn is_write(op: &Value) -> bool {
    matches!(op["op"].as_str(), Some("put" | "add"))
}

impl Store {
    pub fn pos(&self) -> u64 {
        self.log.len() as u64
    }

    pub fn outcome(&self, id: &str) -> Option<(u64, &Line)> {
        self.outcomes
            .get(id)
            .map(|i| (*i as u64 + 1, &self.log[*i]))
    }

    pub fn get(&self, k: &str) -> i64 {
        self.rows.get(k).copied().unwrap_or(0)
    }

    fn apply(&mut self, op: &Value) {
        let v = op["value"].as_i64().unwrap_or(0);
        let e = self.rows.entry(key(op).into()).or_insert(0);
        match op["op"].as_str() {
            Some("put") => *e = v,
            Some("add") => *e += v,
            _ => (),
        }
    }

    pub fn read(&self, pending: &[Value], op: &Value) -> Value {
        let k = key(op);
        let mut v = self.get(k);
        for p in pending.iter().filter(|p| key(p) == k) {
            let x = p["value"].as_i64().unwrap_or(0);
            v = if p["op"] == "put" { x } else { v + x };
        }
        json!(v)
    }

    pub fn write(&mut self, at: u64, by: &str, id: &str, ops: Vec<Value>) -> (u64, Value) {
        ops.iter().for_each(|o| self.apply(o));
        let result = ops.last().map_or(Value::Null, |o| json!(self.get(key(o))));
        let d = digest_ops(&ops);
        if !id.is_empty() {
            self.outcomes.insert(id.into(), self.log.len());
        }
        self.log.push(Line {
            id: id.into(),
            digest: d,
            ops,
            result: result.clone(),
            at,
            by: by.into(),
        });
        (self.pos(), result)
    }

    pub fn put_line(&mut self, l: Line) {
        l.ops.iter().for_each(|o| self.apply(o));
        if !l.id.is_empty() {
            self.outcomes.insert(l.id.clone(), self.log.len());
        }
        self.log.push(l);
    }

    pub fn prefix_of(&self, other: &Store) -> bool {
        let n = self.log.len();
        n <= other.log.len() && (n == 0 || same(&self.log[n - 1], &other.log[n - 1]))
    }
}

fn same(a: &Line, b: &Line) -> bool {
    a.id == b.id && a.at == b.at && a.by == b.by && a.digest == b.digest
}

pub fn digest_ops(ops: &[Value]) -> u64 {
    digest(Value::Array(ops.to_vec()).to_string().as_bytes())
}
