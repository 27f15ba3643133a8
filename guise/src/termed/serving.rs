//! What a server answers to connections, transactions and probes.

use super::statements::Statement;
use super::{Conn, Flaw, Fleet, Txn};
use tenet::query::{BackRes, Got, Position, Query, Refusal};
use tenet::wire::SetUp;

pub(super) fn refused(refusal: Refusal, text: &str) -> BackRes {
    BackRes::Rejected(refusal, text.into())
}

pub(super) fn ran(pos: u64, result: String) -> BackRes {
    BackRes::Ok(Got::Ran {
        pos,
        result,
        repeat: false,
    })
}

/// Where and when a query is answered.
#[derive(Clone, Copy)]
pub(super) struct Place {
    pub now: u64,
    pub server: usize,
    pub conn: u64,
}

/// Changes options and prepared statements from `from` to `to`; without `from`, from nothing.
fn reset(conn: &mut Conn, from: Option<&SetUp>, to: &SetUp) {
    if from.is_none() {
        conn.options.clear();
        conn.names.clear();
    }
    let (settings, prepared) = match from {
        Some(from) => (&from.settings[..], &from.prepared[..]),
        None => Default::default(),
    };
    for setting in to.settings.iter().filter(|s| !settings.contains(s)) {
        conn.options.insert(setting.0.clone(), setting.1.clone());
    }
    for old in prepared.iter().filter(|p| !to.prepared.contains(p)) {
        conn.names.remove(&old.0);
    }
    for new in to.prepared.iter().filter(|p| !prepared.contains(p)) {
        conn.names.insert(new.0.clone(), new.1.clone());
    }
}

impl Fleet {
    /// Answers a query to server `index`.
    pub fn handle(&mut self, now: u64, index: usize, query: &Query) -> BackRes {
        let server = &mut self.servers[index];
        if let Query::Connect {
            service,
            server: name,
            ..
        }
        | Query::Position {
            service,
            server: name,
        } = query
        {
            if *service != server.service || *name != server.name {
                return refused(Refusal::WrongServer, "WRONGHOST");
            }
        }
        match query {
            Query::Position { .. } if now < server.busy => refused(Refusal::Busy, "THROTTLED"),
            Query::Position { .. } => BackRes::Ok(Got::Position(Position {
                life: server.life(),
                term: server.term,
                pos: server.received(),
                follows: String::new(),
                leads: server.leads,
                link: true,
            })),
            Query::Connect { .. } if server.conns.len() >= server.cap => {
                refused(Refusal::Busy, "CONNLIMIT")
            }
            Query::Connect { .. } => {
                let conn = self.fresh();
                self.servers[index].conns.insert(conn, Conn::default());
                BackRes::Ok(Got::Connected { conn })
            }
            Query::Outcome { .. } => {
                self.faults.push("unasked: an outcome was looked up".into());
                refused(Refusal::Other, "nothing is looked up here")
            }
            Query::Close { conn } => {
                server.conns.remove(conn);
                BackRes::Ok(Got::Done)
            }
            Query::Reset { conn: id, .. }
            | Query::Begin { conn: id, .. }
            | Query::Run { conn: id, .. }
            | Query::Commit { conn: id, .. }
            | Query::Rollback { conn: id } => {
                let Some(mut conn) = server.conns.remove(id) else {
                    return refused(Refusal::ConnClosed, "it was closed");
                };
                let place = Place {
                    now,
                    server: index,
                    conn: *id,
                };
                let answer = self.on_connection(place, &mut conn, query);
                self.servers[index].conns.insert(*id, conn);
                answer
            }
        }
    }

    fn on_connection(&mut self, place: Place, conn: &mut Conn, query: &Query) -> BackRes {
        let server = &self.servers[place.server];
        let shown = server.shown();
        let busy = place.now < server.busy;
        let leads = server.leads;
        let term = server.term;
        let unguarded = self.flaw == Flaw::GuardIgnored;
        let behind = |after: u64| after > shown && !unguarded;
        let aborted = conn
            .txn
            .as_ref()
            .is_some_and(|txn| !leads || txn.term != term);
        match query {
            Query::Reset { from, setup, .. } => {
                if self.flaw != Flaw::NotReset {
                    reset(conn, from.as_ref(), setup);
                }
                ran(shown, String::new())
            }
            Query::Rollback { .. } => {
                conn.txn = None;
                ran(shown, String::new())
            }
            Query::Begin { .. } if conn.txn.is_some() => {
                let name = &server.name;
                self.faults
                    .push(format!("pinned: begin inside a transaction on {name}"));
                refused(Refusal::Failed, "MALFORMED")
            }
            _ if busy => refused(Refusal::Busy, "THROTTLED"),
            Query::Begin { after, .. } if behind(*after) => refused(Refusal::Behind, "LAGGING"),
            Query::Begin {
                read_only: false, ..
            } if !leads => refused(Refusal::NotLeading, "READONLY"),
            Query::Begin { .. } => {
                let serial = self.fresh();
                conn.txn = Some(Txn {
                    serial,
                    term,
                    puts: Vec::new(),
                });
                ran(shown, String::new())
            }
            Query::Commit { body, .. } => self.commit(place, conn, body, aborted),
            Query::Run { .. } if aborted => refused(Refusal::NotLeading, "READONLY"),
            Query::Run { body, after, .. } => {
                let statement = Statement {
                    body,
                    guarded: *after > 0,
                    behind: behind(*after),
                };
                self.run(place, conn, statement)
            }
            _ => refused(Refusal::Other, "MALFORMED"),
        }
    }
}
