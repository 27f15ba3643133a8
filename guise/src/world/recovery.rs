//! How stand-in servers fail, come back and take over.

use super::{Reply, World};
use crate::store::Store;
use serde_json::json;

impl World {
    /// A replica that follows a former primary follows the present one.
    pub(super) fn regroup(&mut self, now: u64, index: usize) {
        let server = &self.servers[index];
        let primary = self
            .leader(&server.db)
            .filter(|primary| *primary != index && server.follows != Some(*primary))
            .filter(|primary| server.up && !server.leads && self.reach(index, *primary));
        if let Some(primary) = primary {
            let life = self.fresh();
            self.rebuild(now, index, primary, life);
        }
    }

    /// Stops a server; its connections are lost, its data is kept.
    pub fn crash(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.up = false;
        server.conns.clear();
    }

    /// Starts a server again with its data, behind the present primary.
    pub fn restart(&mut self, now: u64, index: usize) {
        let life = self.fresh();
        let primary = self.leader(&self.servers[index].db);
        if let Some(primary) = primary.filter(|primary| *primary != index) {
            self.rebuild(now, index, primary, life);
        }
        let server = &mut self.servers[index];
        server.up = true;
        server.leaving = false;
        server.stalled = false;
        server.born = now;
        server.conns.clear();
    }

    /// Follows `primary`; data that is no beginning of the primary's is given up.
    fn rebuild(&mut self, now: u64, index: usize, primary: usize, life: u64) {
        let agrees = self.servers[index]
            .data
            .prefix_of(&self.servers[primary].data);
        let server = &mut self.servers[index];
        let keeps_data = agrees && !server.leads;
        server.follows = Some(primary);
        server.leads = false;
        server.read_only = false;
        if !keeps_data {
            server.life = life;
            server.data = Store::default();
            server.born = now;
            self.copy(now, index, primary);
        }
    }

    /// Starts a new, empty server in the place of an old one.
    pub fn replace(&mut self, now: u64, index: usize) {
        let life = self.fresh();
        let primary = self.leader(&self.servers[index].db);
        let server = &mut self.servers[index];
        server.life = life;
        server.data = Store::default();
        server.up = true;
        server.leaving = false;
        server.leads = false;
        server.born = now;
        server.conns.clear();
        server.follows = primary;
    }

    /// Makes the server with this name the primary of its database.
    pub fn promote(&mut self, now: u64, name: &str) -> Reply {
        let index = self.ix(name).ok_or((404, format!("no server {name}")))?;
        let server = &mut self.servers[index];
        if !server.up {
            return Err((409, format!("{name} is down")));
        }
        if server.leads {
            return Ok(json!({"leads": name}));
        }
        server.leads = true;
        server.follows = None;
        let database = server.db.clone();
        self.last_leader.insert(database, index);
        for replica in 0..self.servers.len() {
            self.regroup(now, replica);
        }
        Ok(json!({"leads": name}))
    }
}
