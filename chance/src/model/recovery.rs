//! Liveness: after faults end, a connected majority serves again and confirms a new change.

use super::cluster::Cluster;
use super::setup::MACHINES;
use std::sync::Arc;
use tenet::base::Time;

/// How the cluster is after faults end.
#[derive(Clone, Copy, Debug)]
pub enum Rest {
    /// All machines run and reach each other.
    All,
    /// One machine stays down for good.
    Without(usize),
}

impl Cluster {
    /// Steps of the default schedule until a tail serves and confirms a new change, and the time that
    /// took; an error if it takes longer than `within`.
    pub fn recovers(&self, rest: Rest, within: Time) -> Result<Time, String> {
        let mut cluster = self.clone();
        cluster.end_faults(rest);
        let begin = cluster.now();
        let confirmed = cluster.history.confirmed.len();
        while cluster.now() < begin + within {
            cluster.step_by_default()?;
            cluster.propose();
            cluster.drain()?;
            let now = cluster.now();
            let serves = cluster.running().any(|(_, c)| c.serves_readers(now));
            if serves && cluster.history.confirmed.len() > confirmed {
                return Ok(now - begin);
            }
        }
        Err(format!(
            "no tail serves and confirms within {within} ms after faults ended ({rest:?}): {}",
            cluster.describe()
        ))
    }

    /// Each machine's view, place and votes, in short.
    fn describe(&self) -> String {
        let mut text = format!("at {} ms", self.now());
        for (index, chain) in self.running() {
            let durable = &chain.d;
            let members: Vec<u64> = durable.view.chain.iter().map(|seat| seat.id).collect();
            text += &format!(
                "; {index}: view {} chain {members:?} in sync with {} mark {} promised {} accepted {}",
                durable.view.n, durable.whole, durable.state.mark, durable.promised, durable.accepted
            );
        }
        text
    }

    fn end_faults(&mut self, rest: Rest) {
        self.cut.until = 0;
        self.wrongly = Default::default();
        let step = self.step;
        for machine in &mut self.machines {
            if machine.chain.is_none() {
                Arc::make_mut(machine).restart_at = step;
            }
        }
        if let Rest::Without(machine) = rest {
            const FOR_GOOD: u32 = u32::MAX / 2;
            self.crash(machine, true, FOR_GOOD);
        }
    }

    fn step_by_default(&mut self) -> Result<(), String> {
        self.drain()?;
        self.advance();
        self.check()
    }

    fn drain(&mut self) -> Result<(), String> {
        while !self.queue.is_empty() {
            self.next();
            self.check()?;
        }
        Ok(())
    }
}

/// The rest that each machine's loss leaves, and that of none.
pub fn rests() -> Vec<Rest> {
    let without = (0..MACHINES).map(Rest::Without);
    std::iter::once(Rest::All).chain(without).collect()
}
