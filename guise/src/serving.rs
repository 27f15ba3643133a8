//! What the servers of `termed` answer.
use crate::termed::*;
use tenet::query::*;
use tenet::wire::SetUp;

fn no(k: Refusal, w: &str) -> BackRes {
    BackRes::Rejected(k, w.into())
}

fn ran(pos: u64, result: String) -> BackRes {
    BackRes::Ok(Got::Ran {
        pos,
        result,
        repeat: false,
    })
}

fn reset(c: &mut Conn, from: Option<&SetUp>, to: &SetUp) {
    if from.is_none() {
        (c.options, c.names) = Default::default();
    }
    let same = |v: &[(String, String)], x: &(String, String)| v.contains(x);
    for x in to
        .settings
        .iter()
        .filter(|x| from.is_none_or(|o| !same(&o.settings, x)))
    {
        c.options.insert(x.0.clone(), x.1.clone());
    }
    for x in from
        .map(|o| &o.prepared[..])
        .unwrap_or_default()
        .iter()
        .filter(|x| !same(&to.prepared, x))
    {
        c.names.remove(&x.0);
    }
    for x in to
        .prepared
        .iter()
        .filter(|x| from.is_none_or(|o| !same(&o.prepared, x)))
    {
        c.names.insert(x.0.clone(), x.1.clone());
    }
}

/// A statement as it ran: its text, the shape of its prepared name, the rows that it gave.
struct Ran<'a> {
    body: &'a str,
    shape: Option<String>,
    rows: &'a str,
}

impl Fleet {
    pub fn handle(&mut self, now: u64, i: usize, q: &Query) -> BackRes {
        let s = &mut self.servers[i];
        if let Query::Connect {
            service, server, ..
        }
        | Query::Position { service, server } = q
        {
            if *service != s.service || *server != s.name {
                return no(Refusal::WrongServer, "WRONGHOST");
            }
        }
        match q {
            Query::Position { .. } if now < s.busy => no(Refusal::Busy, "THROTTLED"),
            Query::Position { .. } => {
                let (life, pos) = (s.life(), s.received());
                BackRes::Ok(Got::Position(Position {
                    life,
                    term: s.term,
                    pos,
                    follows: String::new(),
                    leads: s.leads,
                    link: true,
                }))
            }
            Query::Connect { .. } if s.conns.len() >= s.cap => no(Refusal::Busy, "CONNLIMIT"),
            Query::Connect { .. } => {
                let conn = self.fresh();
                self.servers[i].conns.insert(conn, Conn::default());
                BackRes::Ok(Got::Connected { conn })
            }
            Query::Outcome { .. } => {
                self.faults.push("unasked: an outcome was looked up".into());
                no(Refusal::Other, "nothing is looked up here")
            }
            Query::Close { conn } => {
                s.conns.remove(conn);
                BackRes::Ok(Got::Done)
            }
            Query::Reset { conn, .. }
            | Query::Begin { conn, .. }
            | Query::Run { conn, .. }
            | Query::Commit { conn, .. }
            | Query::Rollback { conn } => {
                let conn = *conn;
                let Some(mut c) = s.conns.remove(&conn) else {
                    return no(Refusal::ConnClosed, "it was closed");
                };
                let r = self.on(now, i, conn, &mut c, q);
                self.servers[i].conns.insert(conn, c);
                r
            }
        }
    }

    fn on(&mut self, now: u64, i: usize, conn: u64, c: &mut Conn, q: &Query) -> BackRes {
        let free = self.flaw == Flaw::GuardIgnored;
        let (leads, term, shown, busy) = {
            let s = &self.servers[i];
            (s.leads, s.term, s.shown(), now < s.busy)
        };
        let behind = |after: u64| after > shown && !free;
        let lost = c.txn.as_ref().is_some_and(|t| !leads || t.term != term);
        match q {
            Query::Reset { from, setup, .. } => {
                if self.flaw != Flaw::NotReset {
                    reset(c, from.as_ref(), setup);
                }
                ran(shown, String::new())
            }
            Query::Rollback { .. } => {
                c.txn = None;
                ran(shown, String::new())
            }
            Query::Begin { .. } if c.txn.is_some() => {
                self.faults.push(format!(
                    "pinned: begin inside a transaction on {}",
                    self.servers[i].name
                ));
                no(Refusal::Failed, "MALFORMED")
            }
            _ if busy => no(Refusal::Busy, "THROTTLED"),
            Query::Begin { after, .. } if behind(*after) => no(Refusal::Behind, "LAGGING"),
            Query::Begin {
                read_only: false, ..
            } if !leads => no(Refusal::NotLeading, "READONLY"),
            Query::Begin { .. } => {
                let serial = self.fresh();
                c.txn = Some(Txn {
                    serial,
                    term,
                    puts: Vec::new(),
                });
                ran(shown, String::new())
            }
            Query::Commit { body, .. } => self.commit(now, i, conn, c, body, lost),
            Query::Run { .. } if lost => no(Refusal::NotLeading, "READONLY"),
            Query::Run { body, after, .. } => {
                self.run(now, i, conn, c, body, *after, behind(*after))
            }
            _ => no(Refusal::Other, "MALFORMED"),
        }
    }

    fn note(&mut self, now: u64, i: usize, conn: u64, c: &Conn, statement: Ran) -> BackRes {
        let Ran { body, shape, rows } = statement;
        let (id, text) = split(body);
        let s = &self.servers[i];
        let holds = shared(
            &s.log[..s.applied],
            &self.servers[self.leader[&s.service]].log,
        );
        let mut answer = format!("{rows}COMPLETE {}.{}.{:x}", s.name, s.term, self.runs.len());
        if self.flaw == Flaw::OthersAnswer && self.runs.len() % 50 == 49 {
            answer = self.runs[self.runs.len() - 7].body.clone();
        }
        let shown = s.shown();
        let txn = c.txn.as_ref().map(|t| t.serial);
        let (id, text, options, body) = (id.into(), text.into(), c.options.clone(), answer.clone());
        self.runs.push(Run {
            at: now,
            server: i,
            conn,
            txn,
            id,
            text,
            shape,
            options,
            holds,
            body,
        });
        ran(shown, answer)
    }

    fn commit(
        &mut self,
        now: u64,
        i: usize,
        conn: u64,
        c: &mut Conn,
        body: &str,
        lost: bool,
    ) -> BackRes {
        let Some(t) = c.txn.as_ref() else {
            return no(Refusal::Failed, "MALFORMED");
        };
        let puts = t.puts.clone();
        if lost && !puts.is_empty() {
            c.txn = None;
            return no(Refusal::NotLeading, "READONLY");
        }
        self.keep(now, i, split(body).0, puts);
        let r = self.note(
            now,
            i,
            conn,
            c,
            Ran {
                body,
                shape: None,
                rows: "",
            },
        );
        c.txn = None;
        self.refuse(r)
    }

    #[allow(clippy::too_many_arguments)]
    fn run(
        &mut self,
        now: u64,
        i: usize,
        conn: u64,
        c: &mut Conn,
        body: &str,
        after: u64,
        behind: bool,
    ) -> BackRes {
        let (id, text) = split(body);
        let (word, rest) = split(text);
        let (shape, word, rest) = match word {
            "EXECUTE" => match c.names.get(split(rest).0).cloned() {
                None => {
                    self.note(
                        now,
                        i,
                        conn,
                        c,
                        Ran {
                            body,
                            shape: Some("none".into()),
                            rows: "",
                        },
                    );
                    return no(Refusal::Failed, "NOTFOUND");
                }
                Some(s) => (Some(s.clone()), split(&s).0.to_string(), split(rest).1),
            },
            w => (None, w.to_string(), rest),
        };
        let (key, value) = split(rest);
        if word == "FETCH" {
            if behind {
                return no(Refusal::Behind, "LAGGING");
            }
            let own = c
                .txn
                .iter()
                .flat_map(|t| t.puts.iter().rev())
                .find(|p| p.0 == key)
                .map(|p| p.1.clone());
            let row = own.or_else(|| self.servers[i].data.get(key).cloned());
            let rows = row.map_or(String::new(), |r| format!("ROW {r} "));
            return self.note(
                now,
                i,
                conn,
                c,
                Ran {
                    body,
                    shape,
                    rows: &rows,
                },
            );
        }
        if after > 0 {
            self.faults
                .push(format!("unasked: {id} writes under a guard"));
        }
        let put = (key.to_string(), value.to_string());
        match c.txn.as_mut() {
            Some(t) => t.puts.push(put),
            None if !self.servers[i].leads => return no(Refusal::NotLeading, "READONLY"),
            None => self.keep(now, i, id, vec![put]),
        }
        let r = self.note(
            now,
            i,
            conn,
            c,
            Ran {
                body,
                shape,
                rows: "",
            },
        );
        if c.txn.is_some() {
            r
        } else {
            self.refuse(r)
        }
    }

    fn keep(&mut self, now: u64, i: usize, id: &str, puts: Vec<(String, String)>) {
        let times = if self.flaw == Flaw::WrittenTwice && self.kept.len() % 40 == 39 {
            2
        } else {
            1
        };
        for _ in 0..if puts.is_empty() { 0 } else { times } {
            self.servers[i].append(now, id, puts.clone());
            self.kept.push((now, id.into()));
        }
    }

    fn refuse(&mut self, r: BackRes) -> BackRes {
        match self.flaw == Flaw::KeptAndRefused && self.kept.len() % 40 == 39 {
            true => no(Refusal::NotLeading, "READONLY"),
            false => r,
        }
    }
}
