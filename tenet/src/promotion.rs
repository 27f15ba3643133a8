//! Promotions: what the platform is asked for, and how the controller learns that it was done.
//!
//! The goal is that the target leads. An answer of the platform is only one way to learn it: it may come late, be lost
//! or say nothing, and the deed is done all the same. So from the first ask of a failover on, the target's own word that
//! it leads, observed after that ask, ends the failover in whatever phase the ask is.

use crate::base::*;
use crate::pilot::{Sky, Watch};
use crate::state::{Db, Op};

/// One ask to the platform.
pub struct Promote {
    /// The database.
    pub db: String,
    /// The server to be promoted.
    pub server: String,
    /// The epoch of the failover that it is for.
    pub epoch: Mark,
    /// When (ms) the ask must not be sent any more.
    pub not_after: Time,
    /// Rises whenever another process asks, and with each failover.
    pub token: Mark,
}

/// Where the ask for a database's promotion stands.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AskPhase {
    /// An answer is awaited.
    Out,
    /// The platform accepted at this time (ms); the server was not yet seen to lead.
    Accepted(Time),
    /// To be asked again at this time (ms).
    Wait(Time),
}

/// What this process asked the platform for in one failover.
#[derive(Clone, Copy)]
pub(crate) struct PromotionAsk {
    /// The epoch of the failover.
    epoch: Mark,
    /// When (ms) this process asked first.
    first_asked: Time,
    phase: AskPhase,
}

impl PromotionAsk {
    fn due(&self, now: Time) -> bool {
        match self.phase {
            AskPhase::Out => false,
            AskPhase::Accepted(at) => now > at + LEADS_WITHIN,
            AskPhase::Wait(at) => now >= at,
        }
    }
}

impl Watch {
    /// Takes the platform's answer to the ask that is out; one to an earlier failover changes nothing.
    pub fn promoted(
        &mut self,
        now: Time,
        db: &str,
        epoch: Mark,
        server: &str,
        terms: bool,
        done: Result<bool, bool>,
    ) -> Option<Op> {
        let ask = self.asks.get_mut(db)?;
        if ask.epoch != epoch || ask.phase != AskPhase::Out {
            return None;
        }
        match done {
            Ok(true) => Some(Op::Promoted {
                db: db.into(),
                epoch,
                server: server.into(),
            }),
            Ok(false) => {
                ask.phase = AskPhase::Accepted(now);
                None
            }
            Err(unknown) => {
                ask.phase = AskPhase::Wait(now + PROMOTE_AGAIN);
                if unknown {
                    self.unknown.insert(db.into(), (epoch, now));
                    return None;
                }
                self.gave_up_on(now, db, epoch, server, terms)
                    .then(|| Op::Rejected {
                        db: db.into(),
                        epoch,
                        server: server.into(),
                    })
            }
        }
    }

    /// Whether the platform's refusal ends the failover to this server: no earlier ask may take effect any more, and
    /// nobody reaches the server.
    fn gave_up_on(&self, now: Time, db: &str, epoch: Mark, server: &str, terms: bool) -> bool {
        let chosen_here = self.chosen.get(db) == Some(&epoch);
        let open_since = self
            .unknown
            .get(db)
            .filter(|unknown| unknown.0 == epoch)
            .map(|unknown| unknown.1)
            .or(self.began.filter(|_| !chosen_here));
        let sure = open_since.is_none_or(|since| terms && now > since + UNKNOWN_OVER);
        sure && self
            .seen
            .iter()
            .filter(|((_, seen), _)| seen == server)
            .all(|(_, seen)| !seen.s.reach || now >= seen.at + SIGHT_STALE)
    }

    /// Sees to it that the target of a failover is promoted: asks the platform, again where that led to nothing, and
    /// proposes the end once the target is seen to lead.
    pub(crate) fn promoting(
        &mut self,
        sky: &Sky,
        name: &str,
        database: &Db,
        ops: &mut Vec<Op>,
        calls: &mut Vec<Promote>,
    ) {
        let Some(target) = database.target.clone() else {
            return;
        };
        let (db, epoch) = (name.to_string(), database.epoch);
        if database.asker != sky.me {
            let asker = sky.me;
            return ops.push(Op::Asker { db, epoch, asker });
        }
        let ask = self.asks.get(name).copied();
        let ask = ask.filter(|ask| ask.epoch == epoch);
        if let Some(ask) = ask {
            if self.leads(sky, &target, ask.first_asked) {
                let server = target;
                return ops.push(Op::Promoted { db, epoch, server });
            }
            if !ask.due(sky.now) {
                return;
            }
        }
        let sent = PromotionAsk {
            epoch,
            first_asked: ask.map_or(sky.now, |ask| ask.first_asked),
            phase: AskPhase::Out,
        };
        self.asks.insert(db.clone(), sent);
        calls.push(Promote {
            db,
            server: target,
            epoch,
            not_after: sky.now + PERMIT,
            token: sky.st.fencing_token(database),
        });
    }

    /// Whether a server was observed to lead at or after a time (ms).
    fn leads(&self, sky: &Sky, server: &str, from: Time) -> bool {
        let server = sky.st.servers.get(server);
        let seen = server.and_then(|server| self.sight(sky, &server.name, server.life, from));
        seen.is_some_and(|seen| seen.leads)
    }
}
