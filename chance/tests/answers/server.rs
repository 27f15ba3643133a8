//! A database server that counts how often each statement takes effect.
use std::collections::BTreeMap;
use tenet::query::*;

/// A connection: whether it may still be used, and what its open transaction has run.
#[derive(Default)]
struct Connection {
    transaction: Option<Vec<String>>,
}

#[derive(Default)]
pub struct Server {
    pub life: u64,
    connections: BTreeMap<u64, Connection>,
    next: u64,
    /// How often each write took effect.
    pub kept: BTreeMap<String, u32>,
    pub position: u64,
}

/// What a server answers to a statement: no other statement has the same answer.
pub fn result_of(body: &str) -> String {
    format!("result of {body}")
}

impl Server {
    /// The data stay, all connections are gone.
    pub fn begin_life(&mut self, life: u64) {
        self.life = life;
        self.connections.clear();
        self.next = 0;
    }

    pub fn close(&mut self, connection: u64) {
        self.connections.remove(&connection);
    }

    fn keep(&mut self, bodies: Vec<String>) {
        for body in bodies {
            self.position += 1;
            *self.kept.entry(body).or_default() += 1;
        }
    }

    fn ran(&self, result: String) -> BackRes {
        BackRes::Ok(Got::Ran {
            pos: self.position,
            result,
            repeat: false,
        })
    }

    pub fn take(&mut self, leads: bool, query: &Query) -> BackRes {
        match query {
            Query::Connect { .. } => {
                self.next += 1;
                self.connections.insert(self.next, Connection::default());
                BackRes::Ok(Got::Connected { conn: self.next })
            }
            Query::Close { conn } => {
                self.close(*conn);
                BackRes::Ok(Got::Done)
            }
            Query::Position { .. } => BackRes::Ok(Got::Position(Position {
                life: self.life,
                term: 0,
                pos: self.position,
                follows: if leads { "" } else { "a" }.into(),
                leads,
                link: true,
            })),
            Query::Outcome { .. } => BackRes::Rejected(Refusal::Other, "not here".into()),
            Query::Reset { conn, .. }
            | Query::Begin { conn, .. }
            | Query::Run { conn, .. }
            | Query::Commit { conn, .. }
            | Query::Rollback { conn } => self.on_connection(*conn, query),
        }
    }

    fn on_connection(&mut self, conn: u64, query: &Query) -> BackRes {
        let Some(c) = self.connections.get_mut(&conn) else {
            return BackRes::Rejected(Refusal::ConnClosed, "no such connection".into());
        };
        match query {
            Query::Begin { .. } => {
                c.transaction = Some(Vec::new());
                self.ran("begun".into())
            }
            Query::Run { writes, body, .. } => {
                match (c.transaction.as_mut(), writes) {
                    (Some(t), true) => t.push(body.clone()),
                    (None, true) => self.keep(vec![body.clone()]),
                    _ => (),
                }
                self.ran(result_of(body))
            }
            Query::Commit { body, .. } => {
                let all = c.transaction.take().unwrap_or_default();
                self.keep(all);
                self.ran(result_of(body))
            }
            Query::Rollback { .. } => {
                c.transaction = None;
                self.ran("rolled back".into())
            }
            _ => BackRes::Ok(Got::Done),
        }
    }
}
