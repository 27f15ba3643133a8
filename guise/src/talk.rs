use crate::store::*;
use crate::world::{Reply, World, Wrote};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Conn {
    pub txn: Option<Vec<Value>>,
    pub settings: BTreeMap<String, Value>,
    pub prepared: BTreeMap<String, Value>,
    pub user: String,
    pub owner: String,
}

fn conn_id(b: &Value) -> u64 {
    b["conn"].as_u64().unwrap_or(0)
}

fn fill(t: &Value, args: &Value) -> Value {
    match t {
        Value::String(s) => s
            .strip_prefix('$')
            .and_then(|n| n.parse::<usize>().ok())
            .and_then(|n| args.get(n.wrapping_sub(1)).cloned())
            .unwrap_or_else(|| t.clone()),
        Value::Object(m) => {
            Value::Object(m.iter().map(|(k, v)| (k.clone(), fill(v, args))).collect())
        }
        v => v.clone(),
    }
}

impl World {
    pub fn handle(&mut self, now: u64, i: usize, path: &str, b: &Value) -> Reply {
        match path {
            "/log" => Ok(self.tell_log(i)),
            "/connect" => self.connect(now, i, b),
            "/outcome" => {
                let s = &self.servers[i];
                let (life, leads) = (s.life, s.leads);
                let got = s.data.outcome(b["id"].as_str().unwrap_or(""));
                Ok(got.map_or(json!({"found": false, "life": life, "leads": leads}), |(pos, l)| {
                    json!({"found": true, "pos": pos, "result": l.result, "life": life, "leads": leads})
                }))
            }
            "/close" => {
                self.servers[i].conns.remove(&conn_id(b));
                Ok(json!({}))
            }
            "/read-only" => {
                self.servers[i].read_only = true;
                self.servers[i].conns.clear();
                Ok(json!({}))
            }
            "/statement" | "/begin" | "/commit" | "/rollback" | "/reset" => {
                self.on_conn(now, i, path, b)
            }
            _ => Err((404, "no such path".into())),
        }
    }

    fn tell_log(&self, i: usize) -> Value {
        let s = &self.servers[i];
        let lead = s.follows.map(|f| &self.servers[f]);
        json!({"pos": s.data.pos(), "life": s.life, "leads": s.leads,
            "follows": lead.map_or("", |l| l.name.as_str()),
            "link": lead.is_some_and(|l| l.up && !s.stalled) && s.follows.is_some_and(|f| self.reach(i, f))})
    }

    fn connect(&mut self, now: u64, i: usize, b: &Value) -> Reply {
        if self.servers[i].conns.len() >= self.servers[i].cap {
            self.over_cap += 1;
            return Err((429, "too many connections".into()));
        }
        self.opened += 1;
        let id = self.fresh();
        let user = b["user"].as_str().unwrap_or("").to_string();
        self.servers[i].conns.insert(
            id,
            Conn {
                user,
                ..Conn::default()
            },
        );
        self.note_conns(now, i);
        Ok(json!({ "conn": id }))
    }

    fn on_conn(&mut self, now: u64, i: usize, path: &str, b: &Value) -> Reply {
        let c = conn_id(b);
        let mut conn = self.servers[i]
            .conns
            .remove(&c)
            .ok_or((410, "no such connection".into()))?;
        let r = match path {
            "/reset" => {
                let map = |k: &str| {
                    b[k].as_object()
                        .cloned()
                        .unwrap_or_default()
                        .into_iter()
                        .collect()
                };
                conn = Conn {
                    user: b["user"].as_str().unwrap_or("").into(),
                    settings: map("settings"),
                    prepared: map("prepared"),
                    ..Conn::default()
                };
                Ok(json!({}))
            }
            "/begin" if !self.servers[i].leads || self.servers[i].read_only => {
                Err((403, "read only".into()))
            }
            "/begin" if conn.txn.is_some() => {
                self.faults.push(format!(
                    "begin inside a transaction on {}",
                    self.servers[i].name
                ));
                Err((422, "in a transaction already".into()))
            }
            "/begin" => {
                conn.txn = Some(Vec::new());
                conn.owner = String::new();
                Ok(json!({"pos": self.servers[i].data.pos()}))
            }
            "/rollback" => {
                conn.txn = None;
                Ok(json!({"pos": self.servers[i].data.pos()}))
            }
            "/commit" => match conn.txn.take() {
                None => Err((422, "no transaction".into())),
                Some(ops) => self.write(now, i, b["id"].as_str().unwrap_or(""), ops, true),
            },
            _ => self.statement(now, i, &mut conn, b),
        };
        self.servers[i].conns.insert(c, conn);
        r
    }

    fn statement(&mut self, now: u64, i: usize, conn: &mut Conn, b: &Value) -> Reply {
        let mut op = b["body"].clone();
        if let Some(p) = op["prepared"].as_str() {
            let t = conn
                .prepared
                .get(p)
                .cloned()
                .ok_or((422, format!("nothing prepared as {p}")))?;
            let t = t
                .as_str()
                .and_then(|s| serde_json::from_str(s).ok())
                .unwrap_or(t);
            op = fill(&t, &op["args"]);
        }
        self.worked.push((now, i));
        let tag = op["tag"].as_str().unwrap_or("").to_string();
        if conn.txn.is_some() && !conn.owner.is_empty() && !tag.is_empty() && conn.owner != tag {
            self.faults.push(format!(
                "{tag} ran inside the transaction of {}",
                conn.owner
            ));
        }
        let pos = self.servers[i].data.pos();
        match op["op"].as_str() {
            Some("show") => {
                let n = op["name"].as_str().unwrap_or("");
                Ok(
                    json!({"pos": pos, "result": {"settings": conn.settings, "user": conn.user, "value": conn.settings.get(n)}}),
                )
            }
            Some("get") => {
                let none = Vec::new();
                let r = self.servers[i]
                    .data
                    .read(conn.txn.as_ref().unwrap_or(&none), &op);
                Ok(json!({"pos": pos, "result": r}))
            }
            Some("fail") => Err((422, "asked to fail".into())),
            Some("put" | "add") => match conn.txn.as_mut() {
                Some(v) => {
                    conn.owner = tag;
                    v.push(op);
                    Ok(json!({"pos": pos, "result": null}))
                }
                None if b["write"] == true => {
                    self.write(now, i, b["id"].as_str().unwrap_or(""), vec![op], false)
                }
                None => Err((422, "a write in a kind that only reads".into())),
            },
            _ => Err((422, "no such operation".into())),
        }
    }

    fn write(&mut self, now: u64, i: usize, id: &str, ops: Vec<Value>, commit: bool) -> Reply {
        let s = &mut self.servers[i];
        if !s.leads || s.read_only {
            return Err((403, "read only".into()));
        }
        if let Some((pos, l)) = s.data.outcome(id) {
            return match commit || l.digest == digest_ops(&ops) {
                true => Ok(json!({"pos": pos, "result": l.result, "repeat": true})),
                false => Err((409, "this id was used with another body".into())),
            };
        }
        if ops.is_empty() {
            return Ok(json!({"pos": s.data.pos(), "result": null}));
        }
        let by = s.name.clone();
        if self.last_leader.get(&s.db) != Some(&i) {
            self.faults.push(format!(
                "two servers: {by} took write {id} at {now} after its successor was promoted"
            ));
        }
        let (pos, result) = s.data.write(now, &by, id, ops);
        self.wrote.push(Wrote {
            at: now,
            db: s.db.clone(),
            server: i,
            id: id.into(),
        });
        Ok(json!({"pos": pos, "result": result}))
    }
}
