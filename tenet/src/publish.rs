//! Changes of the configuration, evacuations and servers that leave, as the state applies them. One document per
//! version number; an order that comes again within its window counts as a repeat.

use crate::apply::{stale, Res};
use crate::base::*;
use crate::departed::STILL_RUNNING;
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::state::*;
use crate::versions::Standing;

impl State {
    pub(crate) fn config(&mut self, at: u64, base: Mark, text: &str) -> Res {
        if self.is_repeat(base, text) {
            return Ok(self.cfg_mark);
        }
        if base != self.cfg_mark {
            return Err(stale(format!("base {base}, current {}", self.cfg_mark)));
        }
        self.cfg_base = base;
        self.cfg_mark = self.mark;
        self.cfg = text.into();
        self.tell(
            at,
            "configuration",
            format!("configuration {} accepted over {base}", self.cfg_mark),
        );
        Ok(self.mark)
    }

    /// Puts a numbered configuration in force if its number is the highest yet. What was
    /// confirmed once is confirmed again; another document under its number is refused.
    pub(crate) fn publish(&mut self, at: u64, version: u64, document: u64, text: &str) -> Res {
        match self.versions.standing(version, document) {
            Standing::Repeat => return Ok(self.cfg_mark),
            Standing::Conflict if !planted(Bug::VersionReused) => {
                return self.conflict(at, version)
            }
            _ => self.versions.record(version, document),
        }
        if self.cfg_mark > 0 && version <= self.cfg_version {
            return Ok(self.cfg_mark);
        }
        (self.cfg_version, self.cfg_mark, self.cfg) = (version, self.mark, text.into());
        self.tell(
            at,
            "configuration",
            format!("configuration of version {version} accepted"),
        );
        Ok(self.mark)
    }

    /// Confirms a document that was confirmed before, and refuses any other with `otherwise`.
    pub(crate) fn confirm(&mut self, at: u64, version: u64, document: u64, otherwise: &str) -> Res {
        match self.versions.standing(version, document) {
            Standing::Repeat => Ok(self.cfg_mark),
            Standing::Conflict => self.conflict(at, version),
            Standing::New => Err(Reject::new(Kind::BadConfig, otherwise)),
        }
    }

    fn conflict(&mut self, at: u64, version: u64) -> Res {
        let why = format!(
            "version {version} was confirmed with another document; the newest is {}",
            self.cfg_version
        );
        self.tell(at, "configuration", format!("configuration refused: {why}"));
        Err(Reject::new(Kind::OtherBody, why))
    }

    /// Counts an order that evacuates a domain, or one that ends it. Its age is read from the
    /// agreed clock: `at` is the time of day of whoever took the order, and is only told.
    pub(crate) fn hold(&mut self, at: u64, domain: &str, on: bool, repeat_window: Time) -> Mark {
        let clock = match planted(Bug::RepeatByTimeOfDay) {
            true => at,
            false => self.clock,
        };
        let holds = self.holds.entry(domain.into()).or_default();
        let last = if on { holds.on } else { holds.off };
        let again = last.is_some_and(|t| clock < t + repeat_window);
        match on {
            true if holds.n > 0 && again => (),
            true => (holds.n, holds.on) = (holds.n + 1, Some(clock)),
            false if holds.n == 0 || again => (),
            false => (holds.n, holds.off) = (holds.n - 1, Some(clock)),
        }
        let held = holds.n > 0;
        if held != self.evacuated.contains_key(domain) {
            self.set_evacuated(domain, held);
            let what = if held { "evacuated" } else { "taken back" };
            self.tell(at, domain, format!("domain {domain} {what} by an operator"));
        }
        self.mark
    }

    /// Empties a domain, or takes it back.
    pub(crate) fn set_evacuated(&mut self, domain: &str, on: bool) {
        if on {
            self.evacuated.insert(domain.into(), self.mark);
            self.domains_off_since.insert(domain.into(), self.clock);
        } else {
            self.evacuated.remove(domain);
            self.domains_off_since.remove(domain);
        }
    }

    /// Notes since when a server has been leaving or drained.
    pub(crate) fn note_server_off(&mut self, server: &str) {
        let leaving = self.servers.get(server).is_some_and(|s| s.leaving);
        if leaving || self.drained.contains_key(server) {
            let since = self.servers_off_since.entry(server.into());
            since.or_insert(self.clock);
        } else {
            self.servers_off_since.remove(server);
        }
    }

    /// Whether an announcement was overtaken by a later one, so that it changes nothing. That a server
    /// is leaving holds on whenever the word comes: it never takes this back.
    pub(crate) fn late(&self, announced: &Server) -> bool {
        let overtaken = |held: &Server| {
            let older = announced.seq > 0 && announced.seq < held.seq;
            older && (held.leaving || !announced.leaving)
        };
        let held = self.servers.get(&announced.name);
        self.departed.is_late(&announced.name, announced.seq)
            || held.is_some_and(|held| held.life == announced.life && overtaken(held))
    }

    /// A server stands at an address: those listed there before have ended. One that announced the same labels passed
    /// its log on to it, and is forgotten. The log of any other went with it.
    pub(crate) fn displace(&mut self, at: u64, s: &Server) {
        let old = |o: &&Server| s.terms && o.addr == s.addr && o.name != s.name;
        let displaced: Vec<(String, bool)> = self
            .servers
            .values()
            .filter(old)
            .map(|o| (o.name.clone(), o.labels == s.labels))
            .collect();
        for (name, log_passed_on) in displaced {
            if log_passed_on {
                self.departed.add(&name, 0);
                let why = format!("server {name} is gone, {} stands at its address", s.name);
                self.forget(at, &name, why);
            } else {
                self.lose_address(at, &name, &s.name);
            }
        }
    }

    /// A server has ended, and its log with it. It stays in the state without an address, as one that has left: it may
    /// have acknowledged what no other one holds, which counts until the others hold all that the primary has.
    fn lose_address(&mut self, at: u64, server: &str, successor: &str) {
        if let Some(held) = self.servers.get_mut(server) {
            held.leaving = true;
            held.addr = Addr::NONE;
        }
        self.departed.add(server, STILL_RUNNING);
        self.note_server_off(server);
        let text = format!(
            "server {server} has ended, {successor} of another service stands at its address; \
             its log counts until the others hold what the primary has"
        );
        self.tell(at, server, text);
    }

    /// A server has left. While its process may still run it stays in the state as one that is leaving: it
    /// may acknowledge commits until it ends, so its log counts.
    pub(crate) fn depart(&mut self, at: u64, server: &str, seq: u64) -> Res {
        if seq == STILL_RUNNING && self.servers.contains_key(server) {
            self.say_gone(at, server);
        } else {
            self.forget(at, server, format!("server {server} has left"));
            self.departed.add(server, seq);
        }
        Ok(self.mark)
    }

    fn say_gone(&mut self, at: u64, server: &str) {
        if self.may_still_run(server) {
            return;
        }
        if let Some(held) = self.servers.get_mut(server) {
            held.leaving = true;
        }
        self.departed.add(server, STILL_RUNNING);
        self.note_server_off(server);
        let text =
            format!("server {server} says that it is gone; its log counts until it has ended");
        self.tell(at, server, text);
    }

    /// Whether a server is listed only since it may still run: it said that it is gone.
    pub fn may_still_run(&self, server: &str) -> bool {
        let leaving = self.servers.get(server).is_some_and(|s| s.leaving);
        leaving && self.departed.may_still_run(server)
    }

    fn forget(&mut self, at: u64, server: &str, why: String) {
        self.servers_off_since.remove(server);
        if self.servers.remove(server).is_some() {
            self.tell(at, server, why);
        }
        for d in self.dbs.values_mut() {
            d.heirs.remove(server);
            d.joining.remove(server);
            d.retired.remove(server);
        }
    }
}
