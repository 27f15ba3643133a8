//! How entries reach the replicas, and how the leader changes.

use super::{shared, Cut, Flaw, Fleet, Line};
use tenet::base::mix;

/// How long a server that lost entries refuses work, ms.
const BUSY_AFTER_CUT_MS: u64 = 100;
/// Shortest time that a promotion takes, ms.
const PROMOTION_MS: u64 = 600;
/// What a promotion may take beyond that, ms.
const PROMOTION_JITTER_MS: u64 = 400;
/// Entries that a leader with `Flaw::LeadsWithLess` lacks.
const ENTRIES_LOST_BY_FLAW: usize = 5;

impl Fleet {
    fn roll(&self, index: usize, now: u64, below: u64) -> u64 {
        mix(self.seed ^ mix(index as u64) ^ mix(now / 1000)) % below
    }

    /// How late a server applies what it received, ms.
    fn apply_delay(&self, index: usize, now: u64) -> u64 {
        match self.roll(index, now, 12) {
            0 => 500,
            1 => 2200,
            n => 10 + 8 * n,
        }
    }

    /// Lets time go on: promotions end, entries arrive and are applied.
    pub fn tick(&mut self, now: u64, reach: &dyn Fn(usize, usize) -> bool) {
        let due: Vec<usize> = self
            .moves
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, server)| *server)
            .collect();
        self.moves.retain(|(at, _)| *at > now);
        for server in due {
            self.lead(now, server);
        }
        for index in 0..self.servers.len() {
            self.receive(now, index, reach);
            self.apply(now, index);
        }
    }

    fn receive(&mut self, now: u64, index: usize, reach: &dyn Fn(usize, usize) -> bool) {
        let server = &self.servers[index];
        let leading = self.leader[&server.service];
        let leader = &self.servers[leading];
        let runs = server.up && index != leading && leader.up && !server.stalled;
        if !runs || !reach(leading, index) || !reach(index, leading) {
            return;
        }
        let common = shared(&server.log, &leader.log);
        let term = leader.term;
        let delay = 8 + self.roll(index, now, 20);
        let more: Vec<Line> = leader.log[common..]
            .iter()
            .take_while(|line| line.at + delay <= now)
            .cloned()
            .collect();
        let server = &mut self.servers[index];
        server.term = term;
        if server.log.len() > common {
            server.cut_back(common);
            server.busy = now + BUSY_AFTER_CUT_MS;
        }
        server.got.extend(more.iter().map(|_| now));
        server.log.extend(more);
    }

    fn apply(&mut self, now: u64, index: usize) {
        let delay = self.apply_delay(index, now);
        let server = &mut self.servers[index];
        let ripe = server.got[server.applied..]
            .iter()
            .take_while(|received| **received + delay <= now)
            .count();
        server.apply(server.applied + ripe);
    }

    /// Takes an order that names who leads next; `Ok(false)` when it is under way.
    pub fn accept(&mut self, now: u64, name: &str, token: u64) -> Result<bool, bool> {
        let index = self
            .servers
            .iter()
            .position(|server| server.name == name && server.up)
            .ok_or(false)?;
        let service = self.servers[index].service.clone();
        let highest = self.tokens.entry(service).or_default();
        if token < *highest {
            return Err(false);
        }
        *highest = token;
        if !self.servers[index].leads {
            let jitter = mix(self.seed ^ now) % PROMOTION_JITTER_MS;
            self.moves.push((now + PROMOTION_MS + jitter, index));
        }
        Ok(false)
    }

    fn lead(&mut self, now: u64, index: usize) {
        let service = self.servers[index].service.clone();
        let old = self.leader[&service];
        if old == index || !self.servers[index].up {
            return;
        }
        if self.flaw == Flaw::LeadsWithLess {
            let len = self.servers[index].log.len();
            self.servers[index].cut_back(len.saturating_sub(ENTRIES_LOST_BY_FLAW));
        }
        let common = shared(&self.servers[index].log, &self.servers[old].log);
        let term = self.servers[old].term + 1;
        let lost = self.servers[old].log[common..].iter().map(|line| Cut {
            at: now,
            id: line.id.clone(),
            service: service.clone(),
        });
        self.cut.extend(lost);
        self.servers[old].leads = false;
        self.servers[old].term = term;
        let server = &mut self.servers[index];
        server.cut_back(common);
        server.apply(common);
        server.leads = true;
        server.term = term;
        self.leader.insert(service, index);
    }

    /// Stops a server; its connections are lost, its log is kept.
    pub fn crash(&mut self, index: usize) {
        self.servers[index].up = false;
        self.servers[index].conns.clear();
    }
}
