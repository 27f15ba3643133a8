use serde_json::{json, Value};
use tenet::base::mix;
use tenet::config::Config;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Class {
    Write,
    Current,
    Within(u64),
    Own(u64),
}

#[derive(Clone, Debug)]
pub struct Kinds {
    pub write: Vec<String>,
    pub current: Vec<String>,
    pub within: Vec<(String, u64)>,
    pub own: Vec<(String, u64)>,
}

impl Kinds {
    pub fn of(c: &Config) -> Kinds {
        let mut k = Kinds {
            write: vec![],
            current: vec![],
            within: vec![],
            own: vec![],
        };
        for (n, r) in &c.kinds {
            match (r.writes, r.fresh.own_changes, r.fresh.within_ms) {
                (true, ..) => k.write.push(n.clone()),
                (_, true, Some(b)) => k.own.push((n.clone(), b)),
                (_, _, Some(b)) => k.within.push((n.clone(), b)),
                _ => k.current.push(n.clone()),
            }
        }
        k
    }
}

#[derive(Clone, Debug)]
pub enum Do {
    Run {
        kind: String,
        id: Option<String>,
        body: Value,
        class: Class,
        key: String,
        value: i64,
    },
    Txn {
        id: String,
        steps: Vec<Value>,
        key: String,
        value: i64,
    },
    Show {
        name: String,
        value: String,
    },
}

pub struct Caller {
    pub n: u64,
    pub db: String,
    pub of: u64,
    seed: u64,
    turn: u64,
    value: i64,
}

impl Caller {
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

    pub fn roll(&mut self, m: u64) -> u64 {
        self.turn += 1;
        mix(self.seed ^ mix(self.turn)) % m.max(1)
    }

    pub fn pause(&mut self, mean: u64) -> u64 {
        mean / 2 + self.roll(mean)
    }

    fn key(&self, n: u64) -> String {
        format!("{}.{n}", self.db)
    }

    pub fn next(&mut self, k: &Kinds) -> Do {
        let x = self.roll(100);
        let other = self.roll(self.of);
        let peer = self.key(other * 3 + self.n % 3);
        let mine = self.key(self.n);
        let read = |kind: &str, class: Class, key: &str| Do::Run {
            kind: kind.into(),
            id: None,
            body: json!({"op": "get", "key": key}),
            class,
            key: key.into(),
            value: 0,
        };
        let id = format!("{}-{}-{}", self.db, self.n, self.turn);
        if x < 50 && !k.write.is_empty() {
            self.value += 1;
            let value = self.value;
            let i = self.roll(k.write.len() as u64) as usize;
            let body = json!({"op": "put", "key": mine, "value": value});
            return Do::Run {
                kind: k.write[i].clone(),
                id: Some(id),
                body,
                class: Class::Write,
                key: mine,
                value,
            };
        }
        if x < 58 {
            self.value += 1;
            let value = self.value;
            let tag = format!("caller-{}", self.n);
            let mut steps = vec![json!({"op": "get", "key": mine, "tag": tag})];
            for _ in 0..self.roll(11) {
                steps.push(json!({"op": "get", "key": peer, "tag": tag}));
            }
            steps.push(json!({"op": "put", "key": mine, "value": value, "tag": tag}));
            return Do::Txn {
                id,
                steps,
                key: mine,
                value,
            };
        }
        if x < 62 {
            let value = format!("v{}", self.turn);
            return Do::Show {
                name: "zone".into(),
                value,
            };
        }
        if x < 72 && !k.current.is_empty() {
            return read(&k.current[0], Class::Current, &peer);
        }
        if x < 82 && !k.own.is_empty() {
            return read(&k.own[0].0, Class::Own(k.own[0].1), &mine);
        }
        match k.within.first() {
            Some((n, b)) => read(n, Class::Within(*b), &peer),
            None => Do::Show {
                name: "zone".into(),
                value: "x".into(),
            },
        }
    }
}
