//! Times parts of a machine alone: making a table, one tick of the failover controller, an idle data plane.

use crate::slopes::fleet::timed;
use crate::slopes::scene::*;
use crate::slopes::tally::resident;
use std::sync::Arc;
use std::time::Duration;
use tenet::base::*;
use tenet::colleagues::Colleagues;
use tenet::front::{Front, FrontIn};
use tenet::pilot::{Sky, Watch};
use tenet::session::Req;
use tenet::state::State;
use tenet::table::{Maker, Table};
use tenet::wire::Msg;

pub fn table(sc: &Scene, st: &State, i: usize, old: Option<&Table>) -> Table {
    let cfg = sc.config();
    let domain = st.members[&seat(i).id].domain.clone();
    Maker {
        me: seat(i).id,
        domain: &domain,
        now: 1,
        cfg: &cfg,
        st,
        alive: &|_| true,
        old,
    }
    .make()
}

/// One `Table` from scratch, then one over the old.
pub fn tables(sc: &Scene, st: &State) -> (Duration, Duration) {
    let (t, first) = timed(|| table(sc, st, VOTERS, None));
    let (_, next) = timed(|| table(sc, st, VOTERS, Some(&t)));
    (first, next)
}

/// What the head does in 50 ms for its databases and members, without and with news from servers.
pub struct Pilot {
    pub quiet: Duration,
    pub told: Duration,
    pub sight: Duration,
    pub sights: usize,
    pub ops: usize,
}

pub fn pilot(sc: &Scene, st: &State) -> Pilot {
    let (mut c, mut send) = (
        Colleagues::new(sc.summary(0, st.mark), Vec::new(), 2),
        Vec::new(),
    );
    let news = (1..sc.all()).map(|i| sc.summary(i, st.mark)).collect();
    c.take(
        1,
        seat(1).id,
        seat(1).addr,
        &Msg::ProbeAck { seq: 0, news },
        &mut send,
    );
    let (mut w, cfg) = (Watch::default(), sc.config());
    let at = |now: Time| Sky {
        now,
        me: seat(0).id,
        st,
        cfg: &cfg,
        c: &c,
    };
    (0..3).for_each(|k| drop(w.tick(&at(1 + k * 2000))));
    let (r, quiet) = timed(|| w.tick(&at(7000)));
    let mut ops = r.0.len();
    let fencers: Vec<usize> = (VOTERS..sc.all()).collect();
    let (mut sights, mut last) = (0, Duration::ZERO);
    for i in fencers {
        let v = sc.sights(i, st);
        sights += v.len();
        last = timed(|| w.sights(7000, seat(i).id, v)).1;
    }
    let (r, told) = timed(|| w.tick(&at(7050)));
    ops += r.0.len();
    Pilot {
        quiet,
        told,
        sight: last,
        sights,
        ops,
    }
}

/// One collect node with idle sessions and no answers from servers: per virtual second after warming up.
pub struct Idle {
    pub sessions: usize,
    pub memory: u64,
    pub busy: Duration,
    pub calls: u64,
    pub sends: u64,
    pub sights: u64,
    pub worst: Duration,
}

const PER: Time = 5;

pub fn idle(sc: &Scene, st: &State, sessions: usize, secs: Time) -> Idle {
    let t = Arc::new(table(sc, st, VOTERS, None));
    let me = seat(VOTERS);
    let mut f = Front::new(me.id, me.addr, 3);
    let until = Time::MAX / 2;
    f.poll(10, FrontIn::Table(t.clone(), until));
    let (before, mut opened) = (resident(), 0);
    for k in 0..sessions {
        let db = t.dbs[k % t.dbs.len()].name.clone();
        let settings = vec![("timezone".to_string(), "Europe/Zurich".to_string())];
        let req = Req::Open {
            db,
            user: format!("u{}", k % 50),
            tenant: None,
            settings,
        };
        let o = f.poll(
            11,
            FrontIn::Call {
                call: k as u64 + 1,
                req,
            },
        );
        opened += o.response.iter().filter(|r| r.1.is_ok()).count();
    }
    let memory = resident().saturating_sub(before);
    let mut r = Idle {
        sessions: opened,
        memory,
        busy: Duration::ZERO,
        calls: 0,
        sends: 0,
        sights: 0,
        worst: Duration::ZERO,
    };
    let mut now = 20;
    while now < 1000 + secs * 1000 {
        let (o, d) = timed(|| f.poll(now, FrontIn::Wakeup));
        if now >= 1000 {
            r.busy += d;
            r.worst = r.worst.max(d);
            r.calls += o.back.len() as u64;
            r.sends += o.send.len() as u64;
            r.sights += o.sights.len() as u64;
        }
        now = o.wakeup.max(now + PER);
    }
    r
}
