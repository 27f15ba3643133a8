//! What the servers of `world` answer: connections, transactions and statements.

use crate::store::digest_ops;
use crate::world::{Reply, World, Wrote};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// One connection to a server.
#[derive(Default)]
pub struct Conn {
    /// Writes of the open transaction.
    pub txn: Option<Vec<Value>>,
    /// Session settings.
    pub settings: BTreeMap<String, Value>,
    /// Prepared statements by name.
    pub prepared: BTreeMap<String, Value>,
    /// User.
    pub user: String,
    /// Caller whose statement was the first of the transaction.
    pub owner: String,
}

fn conn_id(body: &Value) -> u64 {
    body["conn"].as_u64().unwrap_or(0)
}

fn text<'a>(body: &'a Value, field: &str) -> &'a str {
    body[field].as_str().unwrap_or("")
}

fn map(body: &Value, field: &str) -> BTreeMap<String, Value> {
    let fields = body[field].as_object().cloned();
    fields.unwrap_or_default().into_iter().collect()
}

/// Puts arguments in the place of `$1`, `$2` and so on.
fn fill(template: &Value, args: &Value) -> Value {
    match template {
        Value::String(name) => name
            .strip_prefix('$')
            .and_then(|number| number.parse::<usize>().ok())
            .and_then(|number| args.get(number.wrapping_sub(1)).cloned())
            .unwrap_or_else(|| template.clone()),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), fill(value, args)))
            .collect(),
        other => other.clone(),
    }
}

/// The statement that a request names or carries.
fn resolve(conn: &Conn, body: &Value) -> Result<Value, (u16, String)> {
    let op = &body["body"];
    let Some(name) = op["prepared"].as_str() else {
        return Ok(op.clone());
    };
    let template = conn
        .prepared
        .get(name)
        .ok_or((422, format!("nothing prepared as {name}")))?;
    let parsed = template
        .as_str()
        .and_then(|text| serde_json::from_str(text).ok());
    Ok(fill(parsed.as_ref().unwrap_or(template), &op["args"]))
}

impl World {
    /// Answers a request to server `index`.
    pub fn handle(&mut self, now: u64, index: usize, path: &str, body: &Value) -> Reply {
        match path {
            "/log" => Ok(self.log_state(index)),
            "/connect" => self.connect(now, index, body),
            "/outcome" => Ok(self.outcome(index, text(body, "id"))),
            "/close" => {
                self.servers[index].conns.remove(&conn_id(body));
                Ok(json!({}))
            }
            "/read-only" => {
                self.servers[index].read_only = true;
                self.servers[index].conns.clear();
                Ok(json!({}))
            }
            "/statement" | "/begin" | "/commit" | "/rollback" | "/reset" => {
                self.on_conn(now, index, path, body)
            }
            _ => Err((404, "no such path".into())),
        }
    }

    fn log_state(&self, index: usize) -> Value {
        let server = &self.servers[index];
        let source = server.follows.map(|source| &self.servers[source]);
        let runs = source.is_some_and(|source| source.up && !server.stalled);
        let follows = server.follows;
        let reached = follows.is_some_and(|source| self.reach(index, source));
        json!({
            "pos": server.data.pos(),
            "life": server.life,
            "leads": server.leads,
            "follows": source.map_or("", |source| source.name.as_str()),
            "link": runs && reached,
        })
    }

    fn outcome(&self, index: usize, id: &str) -> Value {
        let server = &self.servers[index];
        let (life, leads) = (server.life, server.leads);
        match server.data.outcome(id) {
            None => json!({"found": false, "life": life, "leads": leads}),
            Some((pos, line)) => json!({
                "found": true,
                "pos": pos,
                "result": line.result,
                "life": life,
                "leads": leads,
            }),
        }
    }

    fn connect(&mut self, now: u64, index: usize, body: &Value) -> Reply {
        if self.servers[index].conns.len() >= self.servers[index].cap {
            self.over_cap += 1;
            return Err((429, "too many connections".into()));
        }
        self.opened += 1;
        let id = self.fresh();
        let conn = Conn {
            user: text(body, "user").into(),
            ..Conn::default()
        };
        self.servers[index].conns.insert(id, conn);
        self.note_conns(now, index);
        Ok(json!({ "conn": id }))
    }

    fn on_conn(&mut self, now: u64, index: usize, path: &str, body: &Value) -> Reply {
        let id = conn_id(body);
        let mut conn = self.servers[index]
            .conns
            .remove(&id)
            .ok_or((410, "no such connection".into()))?;
        let reply = match path {
            "/reset" => {
                conn = Conn {
                    user: text(body, "user").into(),
                    settings: map(body, "settings"),
                    prepared: map(body, "prepared"),
                    ..Conn::default()
                };
                Ok(json!({}))
            }
            "/begin" => self.begin(index, &mut conn),
            "/rollback" => {
                conn.txn = None;
                Ok(json!({"pos": self.servers[index].data.pos()}))
            }
            "/commit" => match conn.txn.take() {
                None => Err((422, "no transaction".into())),
                Some(ops) => self.write(now, index, text(body, "id"), ops, true),
            },
            _ => self.statement(now, index, &mut conn, body),
        };
        self.servers[index].conns.insert(id, conn);
        reply
    }

    fn begin(&mut self, index: usize, conn: &mut Conn) -> Reply {
        let server = &self.servers[index];
        if !server.leads || server.read_only {
            return Err((403, "read only".into()));
        }
        if conn.txn.is_some() {
            let name = &server.name;
            self.faults
                .push(format!("begin inside a transaction on {name}"));
            return Err((422, "in a transaction already".into()));
        }
        conn.txn = Some(Vec::new());
        conn.owner = String::new();
        Ok(json!({"pos": server.data.pos()}))
    }

    fn statement(&mut self, now: u64, index: usize, conn: &mut Conn, body: &Value) -> Reply {
        let op = resolve(conn, body)?;
        self.worked.push((now, index));
        let tag = text(&op, "tag").to_string();
        if conn.txn.is_some() && !conn.owner.is_empty() && !tag.is_empty() && conn.owner != tag {
            let owner = &conn.owner;
            self.faults
                .push(format!("{tag} ran inside the transaction of {owner}"));
        }
        let data = &self.servers[index].data;
        let pos = data.pos();
        match op["op"].as_str() {
            Some("show") => {
                let value = conn.settings.get(text(&op, "name"));
                let shown = json!({"settings": conn.settings, "user": conn.user, "value": value});
                Ok(json!({"pos": pos, "result": shown}))
            }
            Some("get") => {
                let pending = conn.txn.as_deref().unwrap_or_default();
                Ok(json!({"pos": pos, "result": data.read(pending, &op)}))
            }
            Some("fail") => Err((422, "asked to fail".into())),
            Some("put" | "add") => match conn.txn.as_mut() {
                Some(pending) => {
                    conn.owner = tag;
                    pending.push(op);
                    Ok(json!({"pos": pos, "result": null}))
                }
                None if body["write"] == true => {
                    self.write(now, index, text(body, "id"), vec![op], false)
                }
                None => Err((422, "a write in a kind that only reads".into())),
            },
            _ => Err((422, "no such operation".into())),
        }
    }

    fn write(&mut self, now: u64, index: usize, id: &str, ops: Vec<Value>, commit: bool) -> Reply {
        let server = &mut self.servers[index];
        if !server.leads || server.read_only {
            return Err((403, "read only".into()));
        }
        if let Some((pos, line)) = server.data.outcome(id) {
            return match commit || line.digest == digest_ops(&ops) {
                true => Ok(json!({"pos": pos, "result": line.result, "repeat": true})),
                false => Err((409, "this id was used with another body".into())),
            };
        }
        if ops.is_empty() {
            return Ok(json!({"pos": server.data.pos(), "result": null}));
        }
        let name = server.name.clone();
        if self.last_leader.get(&server.db) != Some(&index) {
            self.faults.push(format!(
                "two servers: {name} took write {id} at {now} after its successor was promoted"
            ));
        }
        let (pos, result) = server.data.write(now, &name, id, ops);
        self.wrote.push(Wrote {
            at: now,
            db: server.db.clone(),
            server: index,
            id: id.into(),
        });
        Ok(json!({"pos": pos, "result": result}))
    }
}
