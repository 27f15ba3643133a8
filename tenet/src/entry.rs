//! Routes: the names that callers open sessions by, each for a database, its kinds of reads and writes and its
//! time limits. Checks them, opens sessions by them, and binds a session to what its route says now.

use crate::base::Time;
use crate::config::Config;
use crate::front::Front;
use crate::kind::{Kind, Reject};
use crate::session::{Answer, Session, Want};
use crate::table::Table;
use crate::wire::SetUp;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// A name that callers open sessions by. It stands for a database, the kinds of its reads and
/// writes, and their time limits in ms.
#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    #[garde(length(min = 1))]
    pub database: String,
    #[garde(length(min = 1))]
    pub reads: String,
    #[garde(length(min = 1))]
    pub writes: String,
    #[garde(range(min = 1, max = 600000))]
    pub statement_ms: u64,
    #[garde(range(min = 1, max = 600000))]
    pub request_ms: u64,
    #[garde(range(min = 0, max = 600000))]
    pub patience_ms: u64,
}

/// What a database's servers can do, and what its owners ask of a commit.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Abilities {
    /// They look the outcome of a write up by its id.
    pub outcomes: bool,
    /// They check before a read that their log holds a position.
    pub guards: bool,
    /// Statements may leave state in a connection that firramp does not know of.
    pub keeps_state: bool,
    /// A commit is acknowledged when every heir holds it; else when the primary has it.
    pub confirms: bool,
    /// Replicas that hold a commit before the primary acknowledges it.
    pub synced: u32,
}

impl Abilities {
    /// Whether servers acknowledge a commit by themselves once `synced` replicas hold it. Which ones do is not
    /// told, so that only enough logs together are known to hold every acknowledged commit.
    pub fn acknowledges_by_quorum(&self) -> bool {
        self.synced > 0 && !self.confirms
    }
}

impl Default for Abilities {
    fn default() -> Self {
        Abilities {
            outcomes: true,
            guards: false,
            keeps_state: true,
            confirms: true,
            synced: 0,
        }
    }
}

pub struct EntryRow {
    pub db: usize,
    pub reads: usize,
    pub writes: usize,
    pub cfg: Entry,
}

impl Config {
    pub(crate) fn entered(&self, out: &mut Vec<String>) {
        for (n, e) in &self.entries {
            let at = format!("entries.{n}");
            if !self.databases.contains_key(&e.database) {
                out.push(format!("{at}.database: no database '{}'", e.database));
            }
            let writes = |k: &String| self.kinds.get(k).map(|k| k.writes);
            if writes(&e.reads) != Some(false) {
                out.push(format!("{at}.reads: '{}' is no kind that reads", e.reads));
            }
            if writes(&e.writes) != Some(true) {
                out.push(format!(
                    "{at}.writes: '{}' is no kind that writes",
                    e.writes
                ));
            }
        }
    }
}

impl Front {
    pub(crate) fn enter(
        &mut self,
        now: Time,
        entry: String,
        user: String,
    ) -> Result<Answer, Reject> {
        let t = self.welcome(now, false)?;
        let db = t
            .entries
            .get(&entry)
            .ok_or_else(|| Reject::new(Kind::UnknownDatabase, entry.clone()))?
            .db;
        let session = self.ids.take();
        let setup = SetUp {
            user,
            ..SetUp::default()
        };
        let s = Session {
            db,
            entry: Some(entry),
            tenant: None,
            setup,
            txn: None,
            deferred: None,
            own_commits: Default::default(),
            last: now,
            busy: false,
        };
        self.sessions.insert(session, s);
        Ok(Answer::Opened {
            session,
            node: self.me,
            region: t.region.clone(),
        })
    }

    /// Binds a session to what its entry says now, and names the kind wanted.
    pub(crate) fn bind(&mut self, t: &Table, sid: u64, want: &Want) -> Result<usize, Reject> {
        let s = self.sessions.get_mut(&sid).ok_or(Kind::UnknownSession)?;
        let row = match &s.entry {
            Some(n) => Some(
                t.entries
                    .get(n)
                    .ok_or_else(|| Reject::new(Kind::UnknownDatabase, n.clone()))?,
            ),
            None => None,
        };
        if let Some(r) = row.filter(|r| r.db != s.db && !s.in_transaction()) {
            s.db = r.db;
        }
        match (want, row) {
            (Want::Kind(k), _) => t
                .kind_ix
                .get(k)
                .copied()
                .ok_or_else(|| Reject::new(Kind::UnknownKind, k.clone())),
            (Want::Reads, Some(r)) => Ok(r.reads),
            (Want::Writes, Some(r)) => Ok(r.writes),
            _ => Err(Reject::new(
                Kind::UnknownKind,
                "the session was opened by no entry",
            )),
        }
    }
}
