//! Injects one fault into a running fleet.

use super::Fleet;
use crate::lock;
use crate::processes::Process;
use eyre::{eyre, Result};

impl Fleet {
    /// Injects a fault named `WHAT=NAME`, where the name is that of a process, database or server.
    pub fn inject(&mut self, what: &str) -> Result<()> {
        let now = self.site.clock.now();
        let (verb, name) = what
            .split_once('=')
            .ok_or_else(|| eyre!("--do: '{what}' is not WHAT=NAME"))?;
        println!("{now:>7} ms  {what}");
        let process = self.procs.iter_mut().find(|process| process.name == name);
        if let Some(done) = process.and_then(|process| on_process(process, verb)) {
            return done;
        }
        let mut world = lock(&self.world);
        let primary = world.leader(name);
        let server = world.ix(name);
        match (verb, primary.or(server), server) {
            ("kill", Some(index), _) => world.crash(index),
            ("retire", Some(index), _) => world.servers[index].leaving = true,
            ("restart", _, Some(index)) => world.restart(now, index),
            ("replace", _, Some(index)) => world.replace(now, index),
            ("stall", _, Some(index)) => world.servers[index].stalled = true,
            _ => return Err(eyre!("--do: cannot '{what}'")),
        }
        Ok(())
    }
}

/// `None` if the verb is not one for processes.
fn on_process(process: &mut Process, verb: &str) -> Option<Result<()>> {
    match verb {
        "kill" => process.kill(),
        "stop" => process.signal("-TERM"),
        "start" => return Some(process.start()),
        "freeze" => process.signal("-STOP"),
        "thaw" => process.signal("-CONT"),
        _ => return None,
    }
    Some(Ok(()))
}
