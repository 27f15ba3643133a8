//! Callers' requests as this node takes them in: opens sessions, checks that the node may take work, and turns
//! statements, begins and commits into requests under way. Answers at once what needs no server.

use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::plan::blank;
use crate::plant::{planted, Bug};
use crate::session::*;
use crate::table::*;
use crate::wire::*;
use serde_json::{json, Value};
use std::sync::Arc;

/// What a caller says when it opens a transaction.
struct BeginRequest {
    kind: Option<Want>,
    id: Option<String>,
    lazy: bool,
    budget: Option<Time>,
}

fn reject(k: Kind, why: impl Into<String>) -> Reject {
    Reject::new(k, why)
}

impl Front {
    pub(crate) fn call(&mut self, now: Time, call: u64, req: Req, out: &mut FrontOut) {
        let r = match req {
            Req::Explain { id } => {
                let v = self.traces.show(&id);
                v.map(|v| {
                    Answer::Text(
                        json!({"node": format!("{:x}", self.me), "id": id, "steps": v, "now": now}),
                    )
                })
                .ok_or_else(|| reject(Kind::UnknownName, format!("no request '{id}' passed here")))
            }
            Req::Figures => Ok(Answer::Text(self.figures())),
            Req::Verdicts => Ok(Answer::Text(self.verdicts(now))),
            Req::Open {
                db,
                user,
                tenant,
                settings,
            } => self.open(now, db, user, tenant, settings),
            Req::Enter { entry, user } => self.enter(now, entry, user),
            req => match self.in_session(now, call, req, out) {
                Ok(None) => return,
                Ok(Some(v)) => Ok(v),
                Err(r) => Err(r),
            },
        };
        out.response.push((call, r));
    }

    /// The table of a configuration that this node has confirmed of late.
    pub(crate) fn confirmed_table(&self, now: Time) -> Result<Arc<Table>, Reject> {
        let t = self.table()?;
        if !self.allows(now) {
            return Err(reject(
                Kind::NotCurrent,
                "this node could not confirm its configuration in time",
            ));
        }
        Ok(t)
    }

    /// The same for new work: a new session, or (`known`) what a session asks outside a transaction. A node that leaves
    /// takes none after a time.
    pub(crate) fn welcome(&self, now: Time, known: bool) -> Result<Arc<Table>, Reject> {
        let t = self.confirmed_table(now)?;
        let late = self.leaving.is_some_and(|at| !known || now > at + SEE_OFF);
        let why = t.closed.unwrap_or("this node is stopping");
        if late {
            Err(reject(Kind::Leaving, why))
        } else {
            Ok(t)
        }
    }

    fn open(
        &mut self,
        now: Time,
        db: String,
        user: String,
        tenant: Option<String>,
        settings: Vec<(String, String)>,
    ) -> Result<Answer, Reject> {
        let t = self.welcome(now, false)?;
        let i = *t
            .db_ix
            .get(&db)
            .ok_or_else(|| reject(Kind::UnknownDatabase, db))?;
        if let Some(x) = tenant
            .as_ref()
            .filter(|x| !t.dbs[i].tenants.contains_key(*x))
        {
            return Err(reject(Kind::UnknownName, format!("no tenant '{x}'")));
        }
        let id = self.ids.take();
        let setup = SetUp {
            user,
            settings,
            prepared: Vec::new(),
        };
        let s = Session {
            db: i,
            entry: None,
            tenant,
            setup,
            txn: None,
            deferred: None,
            own_commits: Default::default(),
            last: now,
            busy: false,
        };
        self.sessions.insert(id, s);
        Ok(Answer::Opened {
            session: id,
            node: self.me,
            region: t.region.clone(),
        })
    }

    fn in_session(
        &mut self,
        now: Time,
        call: u64,
        req: Req,
        out: &mut FrontOut,
    ) -> Result<Option<Answer>, Reject> {
        if now < self.paused_until && !matches!(req, Req::Rollback { .. } | Req::Close { .. }) {
            if let Req::Commit { session, .. } = req {
                self.forget_txn(now, session, out);
            }
            return Err(reject(
                Kind::NotCurrent,
                "this node was paused; what waited meanwhile is not run late",
            ));
        }
        let id = req.session().unwrap_or(0);
        let s = self
            .sessions
            .get_mut(&id)
            .ok_or_else(|| reject(Kind::UnknownSession, id.to_string()))?;
        if s.busy {
            return Err(reject(
                Kind::BadState,
                "the session's earlier request is still under way",
            ));
        }
        s.last = now;
        match req {
            Req::Set { name, value, .. } => {
                upsert(&mut s.setup.settings, name, value);
                Ok(Some(Answer::Set))
            }
            Req::Prepare { name, text, .. } => {
                upsert(&mut s.setup.prepared, name, text);
                Ok(Some(Answer::Prepared))
            }
            Req::Release { name, .. } => {
                s.setup.prepared.retain(|(n, _)| *n != name);
                Ok(Some(Answer::Released))
            }
            Req::Close { .. } => {
                self.forget_txn(now, id, out);
                self.sessions.remove(&id);
                Ok(Some(Answer::Closed))
            }
            Req::Run {
                kind,
                id: rid,
                body,
                prepared,
                budget,
                ..
            } => self
                .run(now, call, id, kind, rid, body, prepared, budget, out)
                .map(|_| None),
            Req::Begin {
                kind,
                id: rid,
                lazy,
                budget,
                ..
            } => {
                let begin = BeginRequest {
                    kind,
                    id: rid,
                    lazy,
                    budget,
                };
                self.begin(now, call, id, begin, out)
            }
            Req::Commit { body, budget, .. } => {
                self.commit(now, call, id, body, budget, out).map(|_| None)
            }
            Req::Rollback { .. } => match self.forget_txn(now, id, out) {
                true => Ok(Some(Answer::RolledBack)),
                false => Err(reject(Kind::BadState, "no transaction is open")),
            },
            _ => Err(reject(Kind::BadRequest, "not a session request")),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn run(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        want: Want,
        rid: Option<String>,
        body: String,
        prepared: Option<String>,
        budget: Option<Time>,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.table()?;
        if let Some(id) = self.sessions.get_mut(&sid).and_then(|s| s.deferred.take()) {
            return self.whole(now, call, sid, id, Act::First, body, budget, out);
        }
        let open = self.sessions[&sid].txn.is_some();
        let k = match open && self.sessions[&sid].entry.is_some() {
            true => Ok(0),
            false => self.bind(&t, sid, &want),
        }?;
        let row = &t.kinds[k];
        let s = &self.sessions[&sid];
        if let Some(p) = prepared
            .as_ref()
            .filter(|p| !s.setup.prepared.iter().any(|(n, _)| n == *p))
        {
            return Err(reject(
                Kind::UnknownName,
                format!("nothing prepared as '{p}'"),
            ));
        }
        let body = match &prepared {
            Some(p) => json!({"prepared": p, "args": serde_json::from_str::<Value>(&body).unwrap_or(Value::Null)}).to_string(),
            None => body,
        };
        if open {
            return self.step(now, call, sid, body, budget, out);
        }
        self.welcome(now, true)?;
        let (db, own_position) = (s.db, s.own_commits.position(s.db));
        let mut load = self.load(&t, sid, rid, Act::Single);
        load.body = body;
        load.writes = row.cfg.writes;
        let loose = !row.cfg.writes && row.cfg.fresh.within_ms.is_some();
        let bound = row.cfg.fresh.within_ms.filter(|_| loose);
        let own = if row.cfg.fresh.own_changes && !planted(Bug::OwnIgnored) {
            own_position
        } else {
            0
        };
        let mut plan = self.plan(now, &t, sid, &load, budget);
        if let Some(b) = bound {
            self.wanted[db] = now;
            let after = if planted(Bug::BoundIgnored) {
                Some(1)
            } else {
                self.guard(now, &t, db, b)
            };
            load.after = after.map_or(0, |p| p.max(own));
            plan.replicas = self.replicas(now, &t, sid, row, &load, b, own);
        }
        let db = &t.dbs[db];
        let barred = db
            .primary
            .is_some_and(|p| !row.sel.matches(&t.servers[p].labels));
        if barred {
            plan.gateways.clear();
            (plan.none, plan.patience) = (Kind::NoPrimary, now);
        }
        self.set_off(now, call, sid, load, plan, bound, out);
        Ok(())
    }

    fn begin(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        begin: BeginRequest,
        out: &mut FrontOut,
    ) -> Result<Option<Answer>, Reject> {
        let BeginRequest {
            kind: want,
            id: rid,
            lazy,
            budget,
        } = begin;
        let t = self.welcome(now, true)?;
        let want = want.or(self.sessions[&sid].entry.is_some().then_some(Want::Writes));
        want.map_or(Ok(0), |w| self.bind(&t, sid, &w))?;
        if self.sessions[&sid].in_transaction() {
            return Err(reject(Kind::BadState, "a transaction is open already"));
        }
        if lazy {
            let id = rid.unwrap_or_else(|| format!("r{:x}", self.ids.take()));
            self.sessions
                .get_mut(&sid)
                .into_iter()
                .for_each(|s| s.deferred = Some(id.clone()));
            return Ok(Some(Answer::Begun));
        }
        let mut load = self.load(&t, sid, rid, Act::Begin);
        load.txn = self.ids.take();
        let plan = self.plan(now, &t, sid, &load, budget);
        self.set_off(now, call, sid, load, plan, None, out);
        Ok(None)
    }

    fn step(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        body: String,
        budget: Option<Time>,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let (mut load, plan) = self.pinned(now, sid, Act::Step, budget)?;
        load.body = body;
        self.set_off(now, call, sid, load, plan, None, out);
        Ok(())
    }

    fn forget_txn(&mut self, now: Time, sid: u64, out: &mut FrontOut) -> bool {
        let s = self.sessions.get_mut(&sid);
        if s.as_ref().is_some_and(|s| s.deferred.is_some()) {
            s.into_iter().for_each(|s| s.deferred = None);
            return true;
        }
        let Some((x, db)) = s.and_then(|s| s.txn.take().map(|x| (x, s.db))) else {
            return false;
        };
        let load = Load {
            act: Act::Rollback,
            session: sid,
            ..blank(x.id.clone())
        };
        self.roll_back_for(now, db, x.key, x.fence, load, out);
        true
    }

    fn commit(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        body: String,
        budget: Option<Time>,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        if let Some(id) = self.sessions.get_mut(&sid).and_then(|s| s.deferred.take()) {
            return self.whole(now, call, sid, id, Act::Whole, body, budget, out);
        }
        let r = self.pinned(now, sid, Act::Commit, budget);
        if r.is_err() {
            self.forget_txn(now, sid, out);
        }
        let (mut load, plan) = r?;
        load.body = body;
        self.set_off(now, call, sid, load, plan, None, out);
        Ok(())
    }
}
