use crate::apply::{stale, Res};
use crate::base::*;
use crate::state::*;

impl State {
    pub(crate) fn config(&mut self, at: u64, base: Mark, text: &str) -> Res {
        if base == self.cfg_base && text == self.cfg && self.cfg_mark > 0 {
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

    pub(crate) fn publish(&mut self, at: u64, version: u64, text: &str) -> Res {
        if version <= self.cfg_version {
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

    pub(crate) fn hold(&mut self, at: u64, domain: &str, on: bool) -> Mark {
        let m = self.mark;
        let h = self.holds.entry(domain.into()).or_default();
        let again = at < if on { h.on } else { h.off } + REPEATS;
        match on {
            true if h.n > 0 && again => (),
            true => (h.n, h.on) = (h.n + 1, at),
            false if h.n == 0 || again => (),
            false => (h.n, h.off) = (h.n - 1, at),
        }
        let held = h.n > 0;
        if held != self.evacuated.contains_key(domain) {
            match held {
                true => self.evacuated.insert(domain.into(), m),
                false => self.evacuated.remove(domain),
            };
            let what = if held { "evacuated" } else { "taken back" };
            self.tell(at, domain, format!("domain {domain} {what} by an operator"));
        }
        m
    }

    pub(crate) fn late(&self, s: &Server) -> bool {
        let gone = self
            .departed
            .get(&s.name)
            .is_some_and(|q| s.seq > 0 && s.seq <= *q);
        gone || self
            .servers
            .get(&s.name)
            .is_some_and(|o| o.life == s.life && s.seq > 0 && s.seq < o.seq)
    }

    pub(crate) fn displace(&mut self, at: u64, s: &Server) {
        let old = |o: &&Server| s.terms && o.addr == s.addr && o.name != s.name;
        let v: Vec<String> = self
            .servers
            .values()
            .filter(old)
            .map(|o| o.name.clone())
            .collect();
        for n in v {
            self.forget(
                at,
                &n,
                format!("server {n} is gone, {} stands at its address", s.name),
            );
        }
    }

    pub(crate) fn depart(&mut self, at: u64, server: &str, seq: u64) -> Res {
        self.forget(at, server, format!("server {server} has left"));
        self.departed
            .insert(server.into(), seq.max(u64::MAX * (seq == 0) as u64));
        if self.departed.len() > DEPARTED {
            self.departed.pop_first();
        }
        Ok(self.mark)
    }

    fn forget(&mut self, at: u64, server: &str, why: String) {
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

const DEPARTED: usize = 1024;
