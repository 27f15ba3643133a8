//! Enters a caller's answer in the history that the checkers read, with the regions that the request passed.

use crate::sim::*;
use guise::check::Event;
use guise::mix::Class;
use medium::back::HttpRes;
use serde_json::Value;

impl Sim {
    pub(crate) fn record(
        &mut self,
        c: usize,
        res: &HttpRes,
        class: Class,
        id: String,
        key: String,
        value: i64,
    ) {
        let out = Sim::out(res);
        let (start, end) = (self.clients[c].start, self.now);
        let value = match (class, res) {
            (Class::Write, _) => value,
            (_, HttpRes::Ok(v)) => v["result"].as_i64().unwrap_or(0),
            _ => 0,
        };
        if let HttpRes::Ok(v) = res {
            self.hops(c, &id, v);
            self.spared(c, class, start, v);
            if class == Class::Current {
                let n = v["hops"].as_array().map_or(0, |a| a.len());
                let far = self
                    .history
                    .hops
                    .last()
                    .map_or(0, |h| h.1.windows(2).filter(|w| w[0] != w[1]).count());
                self.watch
                    .tiers
                    .entry((n, far))
                    .or_default()
                    .push(end - start);
            }
            let heal = self.watch.heal_at;
            if heal > 0 && start >= heal && class == Class::Write {
                self.watch
                    .healed
                    .entry(self.clients[c].node)
                    .or_insert(end - heal);
            }
            let k = &mut self.clients[c];
            k.worst = k.worst.max(if k.kept_at > 0 { end - k.kept_at } else { 0 });
            k.kept_at = end;
        }
        let word = match res {
            HttpRes::Rejected(_, w) => w.split(':').next().unwrap_or("").to_string(),
            r => format!("{:?}", Sim::out(r)).to_lowercase(),
        };
        *self
            .history
            .kinds
            .entry(format!("{class:?} {word}"))
            .or_default() += 1;
        self.history.events.push(Event {
            start,
            end,
            session: c as u64,
            class,
            id,
            key,
            value,
            out,
        });
    }

    fn hops(&mut self, c: usize, id: &str, v: &Value) {
        let node = |h: &Value| {
            let h = u64::from_str_radix(h.as_str()?, 16).ok()?;
            let n = self
                .nodes
                .iter()
                .find(|n| n.control.as_ref().is_some_and(|c| c.me.id == h))?;
            self.cfg.region(&n.domain).map(String::from)
        };
        let mut path: Vec<String> = v["hops"]
            .as_array()
            .map_or(vec![], |a| a.iter().filter_map(node).collect());
        let at = v["server"]
            .as_str()
            .and_then(|s| self.world.ix(s))
            .map(|s| &self.world.servers[s].domain);
        path.extend(at.and_then(|d| self.cfg.region(d)).map(String::from));
        let d = &self.cfg.databases[&self.clients[c].db];
        let own = self.clients[c]
            .tenant
            .as_ref()
            .and_then(|t| d.tenants.get(t));
        let mut ok = own.unwrap_or(&d.homes).clone();
        ok.extend(
            self.cfg
                .region(&self.nodes[self.clients[c].node].domain)
                .map(String::from),
        );
        self.history.hops.push((id.into(), path, ok));
    }
}
