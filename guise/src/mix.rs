//! Chooses what each caller sends next, from a seed.

use serde_json::{json, Value};
use tenet::base::mix;
use tenet::config::Config;

/// Of a hundred requests, those below each bound: single writes, transactions, checks of a
/// setting, current reads, reads of own changes; the rest are reads within a bound.
const WRITES_BELOW: u64 = 50;
const TRANSACTIONS_BELOW: u64 = 58;
const SETTINGS_BELOW: u64 = 62;
const CURRENT_READS_BELOW: u64 = 72;
const OWN_READS_BELOW: u64 = 82;
/// A transaction reads fewer times than this, beside its own key.
const MOST_READS: u64 = 11;

/// What a request asks of the data it sees.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Class {
    /// It writes.
    Write,
    /// It must see all that was acknowledged before.
    Current,
    /// It must see what was acknowledged so many ms before.
    Within(u64),
    /// The same, and all that its own session changed.
    Own(u64),
}

/// Kinds of request by class; bounds are in ms.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
    /// Kinds that write.
    pub write: Vec<String>,
    /// Kinds with current reads.
    pub current: Vec<String>,
    /// Kinds with reads within a bound.
    pub within: Vec<(String, u64)>,
    /// Kinds with reads within a bound that see own changes.
    pub own: Vec<(String, u64)>,
}

impl Kinds {
    /// Sorts the kinds of a configuration by class.
    pub fn of(config: &Config) -> Kinds {
        let mut kinds = Kinds::default();
        for (name, rule) in &config.kinds {
            let name = name.clone();
            match (rule.writes, rule.fresh.own_changes, rule.fresh.within_ms) {
                (true, ..) => kinds.write.push(name),
                (_, true, Some(bound)) => kinds.own.push((name, bound)),
                (_, _, Some(bound)) => kinds.within.push((name, bound)),
                _ => kinds.current.push(name),
            }
        }
        kinds
    }
}

/// What a caller does next.
#[derive(Clone, Debug)]
pub enum Do {
    /// One statement.
    Run {
        /// Kind of request.
        kind: String,
        /// Id, for writes.
        id: Option<String>,
        /// Statement.
        body: Value,
        /// Class of the kind.
        class: Class,
        /// Key that it reads or writes.
        key: String,
        /// Value that it writes.
        value: i64,
    },
    /// A transaction of several statements, the last of which writes.
    Txn {
        /// Id of the transaction.
        id: String,
        /// Statements.
        steps: Vec<Value>,
        /// Key that it writes.
        key: String,
        /// Value that it writes.
        value: i64,
    },
    /// Changes a setting and reads it back.
    Show {
        /// Name of the setting.
        name: String,
        /// New value.
        value: String,
    },
}

/// One caller, who writes rising values under a key of its own.
pub struct Caller {
    /// Its number.
    pub n: u64,
    /// Its database.
    pub db: String,
    /// Number of callers of this database.
    pub of: u64,
    seed: u64,
    turn: u64,
    value: i64,
}

impl Caller {
    /// Caller number `n` among the `of` callers of a database.
    pub fn new(n: u64, of: u64, db: &str, seed: u64) -> Caller {
        Caller {
            n,
            db: db.into(),
            of,
            seed: mix(seed ^ mix(n)),
            turn: 0,
            value: 0,
        }
    }

    /// Next random number below `bound`.
    pub fn roll(&mut self, bound: u64) -> u64 {
        self.turn += 1;
        mix(self.seed ^ mix(self.turn)) % bound.max(1)
    }

    /// Random pause around `mean`.
    pub fn pause(&mut self, mean: u64) -> u64 {
        mean / 2 + self.roll(mean)
    }

    fn key(&self, number: u64) -> String {
        format!("{}.{number}", self.db)
    }

    fn next_value(&mut self) -> i64 {
        self.value += 1;
        self.value
    }

    /// What it does next.
    pub fn next(&mut self, kinds: &Kinds) -> Do {
        let choice = self.roll(100);
        let other = self.roll(self.of);
        let peer = self.key(other * 3 + self.n % 3);
        let mine = self.key(self.n);
        let id = format!("{}-{}-{}", self.db, self.n, self.turn);
        if choice < WRITES_BELOW && !kinds.write.is_empty() {
            return self.write(kinds, id, mine);
        }
        if choice < TRANSACTIONS_BELOW {
            return self.transaction(id, mine, peer);
        }
        if choice < SETTINGS_BELOW {
            let value = format!("v{}", self.turn);
            return show(value);
        }
        if choice < CURRENT_READS_BELOW && !kinds.current.is_empty() {
            return read(&kinds.current[0], Class::Current, peer);
        }
        if choice < OWN_READS_BELOW && !kinds.own.is_empty() {
            let (kind, bound) = &kinds.own[0];
            return read(kind, Class::Own(*bound), mine);
        }
        match kinds.within.first() {
            Some((kind, bound)) => read(kind, Class::Within(*bound), peer),
            None => show("x".into()),
        }
    }

    fn write(&mut self, kinds: &Kinds, id: String, key: String) -> Do {
        let value = self.next_value();
        let kind = self.roll(kinds.write.len() as u64) as usize;
        Do::Run {
            kind: kinds.write[kind].clone(),
            id: Some(id),
            body: json!({"op": "put", "key": key, "value": value}),
            class: Class::Write,
            key,
            value,
        }
    }

    fn transaction(&mut self, id: String, key: String, peer: String) -> Do {
        let value = self.next_value();
        let tag = format!("caller-{}", self.n);
        let mut steps = vec![json!({"op": "get", "key": key, "tag": tag})];
        for _ in 0..self.roll(MOST_READS) {
            steps.push(json!({"op": "get", "key": peer, "tag": tag}));
        }
        steps.push(json!({"op": "put", "key": key, "value": value, "tag": tag}));
        Do::Txn {
            id,
            steps,
            key,
            value,
        }
    }
}

fn read(kind: &str, class: Class, key: String) -> Do {
    Do::Run {
        kind: kind.into(),
        id: None,
        body: json!({"op": "get", "key": key}),
        class,
        key,
        value: 0,
    }
}

fn show(value: String) -> Do {
    Do::Show {
        name: "zone".into(),
        value,
    }
}
