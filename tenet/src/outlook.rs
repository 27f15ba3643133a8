//! What the control side of a node tells its traffic side: the table that it works from, and until when.

use crate::base::*;
use crate::chain::Out;
use crate::config::Config;
use crate::control::{Control, Effect};
use crate::state::*;
use crate::table::{Maker, Table};
use std::sync::Arc;

impl Control {
    pub(crate) fn enrol(&mut self, now: Time, out: &mut Out) {
        if self.f.holds(now) && !self.stopping && !self.f.state.members.contains_key(&self.me.id) {
            let op = Op::Enrol {
                id: self.me.id,
                addr: self.me.addr,
                http: self.http,
                domain: self.domain.clone(),
                disk: self.disk,
            };
            self.once(now, op, out);
        }
    }

    /// Logs what the state tells since the last time. What it tells of before this process had it is in
    /// the logs of others.
    fn log_changes(&mut self, e: &mut Effect) {
        let from = self.told;
        self.told = self.f.state.mark;
        if from == 0 && self.told > 0 {
            e.log
                .push(format!("the state is here up to mark {}", self.told));
            return;
        }
        let new = self.f.state.stories.iter().filter(|s| s.mark > from);
        e.log
            .extend(new.map(|s| format!("mark {}: {}", s.mark, s.text)));
    }

    pub(crate) fn publish(&mut self, now: Time, e: &mut Effect) {
        let m = self.f.state.cfg_mark;
        if m > 0 && self.cfg.as_ref().is_none_or(|c| c.0 != m) {
            match Config::parse(&self.f.state.cfg) {
                Ok(c) => self.cfg = Some((m, Arc::new(c))),
                Err(v) => e.log.push(format!(
                    "configuration {m} cannot be read here: {}",
                    v.join("; ")
                )),
            }
        }
        self.log_changes(e);
        self.c.me.mark = self.f.state.mark;
        self.c.me.allows = self.f.holds(now) && m > 0 && !self.stopping;
        let Some((at, cfg)) = self.cfg.clone() else {
            return;
        };
        if at != m {
            self.table = None;
            return;
        }
        let c = &self.c;
        let t = Maker {
            me: self.me.id,
            domain: &self.domain,
            now,
            cfg: &cfg,
            st: &self.f.state,
            alive: &|n| c.serves(n) || n == c.me.id,
            old: self.table.as_deref(),
        }
        .make();
        let t = self.fresh_table(t);
        e.news = Some((t, self.f.until));
    }

    pub(crate) fn fresh_table(&mut self, t: Table) -> Arc<Table> {
        self.stale = false;
        let t = Arc::new(t);
        self.table = Some(t.clone());
        t
    }
}
