//! Starts a caller's request: one inside an open transaction, which stays with its fencing node, or one that
//! opens a deferred transaction together with its first statement.

use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::ledger::Plan;
use crate::session::*;
use crate::trip::{For, Trip};
use crate::wire::*;

fn reject(k: Kind, why: impl Into<String>) -> Reject {
    Reject::new(k, why)
}

impl Front {
    /// Begins what was deferred, together with its first statement or its commit.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn whole(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        id: String,
        act: Act,
        body: String,
        budget: Option<Time>,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.confirmed_table(now)?;
        let commits = act.commits();
        let mut load = self.load(&t, sid, Some(id), act);
        (load.txn, load.body, load.writes) = (self.ids.take(), body, commits);
        let mut plan = self.plan(now, &t, sid, &load, budget);
        (plan.commit, plan.opens) = (commits, true);
        self.set_off(now, call, sid, load, plan, None, out);
        Ok(())
    }

    pub(crate) fn pinned(
        &mut self,
        now: Time,
        sid: u64,
        act: Act,
        budget: Option<Time>,
    ) -> Result<(Load, Plan), Reject> {
        let t = self.table()?;
        let s = &self.sessions[&sid];
        let x = s
            .txn
            .as_ref()
            .ok_or_else(|| reject(Kind::BadState, "no transaction is open"))?;
        if let TxnState::Broken(w) = &x.state {
            return Err(reject(Kind::Aborted, format!("rolled back before: {w}")));
        }
        let (id, key, fence, via, epoch) = (x.id.clone(), x.key, x.fence, x.via, x.epoch);
        let commit = act == Act::Commit;
        let mut load = self.load(&t, sid, Some(id), act);
        (load.txn, load.fence, load.epoch) = (key, fence, epoch);
        let mut plan = self.plan(now, &t, sid, &load, budget);
        plan.pinned = true;
        plan.commit = commit;
        if let Some(i) = plan.gateways.iter().position(|g| *g == via) {
            plan.gateways.swap(0, i);
        }
        Ok((load, plan))
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn set_off(
        &mut self,
        now: Time,
        call: u64,
        sid: u64,
        load: Load,
        plan: Plan,
        bound: Option<Time>,
        out: &mut FrontOut,
    ) {
        self.sessions
            .get_mut(&sid)
            .into_iter()
            .for_each(|s| s.busy = true);
        let owner = For::Caller { call, session: sid };
        self.traces.tell(
            now,
            &load.id,
            format!("taken in at {:x}: {:?} on {}", self.me, load.act, load.db),
        );
        let t = Trip::new(now, owner, load, plan, bound);
        self.trip_start(now, t, out);
    }
}
