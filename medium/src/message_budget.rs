//! How many bytes the messages of all sessions of a node may hold together.
//!
//! A message counts from its first byte until it is answered. Small ones are free: sessions are many, and what they send
//! is short. A session whose message grows beyond that takes a share of the budget. While none is left it reads no
//! further, which holds its sender up, and then the message is refused. Invariant: shares never exceed the budget.

#![warn(missing_docs)]

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Bytes of a message that are free.
const FREE_BYTES: usize = 16 << 10;
/// Shares are whole multiples of this many bytes.
const UNIT_BYTES: usize = 4 << 10;
/// A message is held several times on its way through a node; this part of the memory is for the first of them.
const PART_OF_MEMORY: u64 = 16;
/// The smallest budget, in bytes: two messages of the largest size.
const LEAST_BYTES: u64 = 2 << 20;
/// How long a session reads no further before its message is refused.
const PATIENCE: Duration = Duration::from_millis(300);

/// The budget of a node. Clones share it.
#[derive(Clone)]
pub struct MessageBudget {
    units: Arc<Semaphore>,
}

/// What one session has taken of the budget; it goes back when this is dropped.
#[derive(Default)]
pub struct Share {
    taken: Option<OwnedSemaphorePermit>,
}

/// The budget is used up.
#[derive(Debug, PartialEq, Eq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("this node holds as many large messages as it may")
    }
}

impl MessageBudget {
    /// The budget of a process with this much memory, in bytes.
    pub fn of_memory(bytes: u64) -> MessageBudget {
        let budget = (bytes / PART_OF_MEMORY).max(LEAST_BYTES);
        let units = usize::try_from(budget).unwrap_or(Semaphore::MAX_PERMITS) / UNIT_BYTES;
        MessageBudget {
            units: Arc::new(Semaphore::new(units)),
        }
    }

    /// Grows a share until it covers a message of this many bytes; waits for a while where nothing is left.
    pub async fn cover(&self, share: &mut Share, bytes: usize) -> Result<(), Exhausted> {
        let wanted = bytes.saturating_sub(FREE_BYTES).div_ceil(UNIT_BYTES);
        let missing = wanted.saturating_sub(share.units());
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).map_err(|_| Exhausted)?;
        let more = timeout(PATIENCE, self.units.clone().acquire_many_owned(missing)).await;
        let Ok(Ok(more)) = more else {
            return Err(Exhausted);
        };
        match &mut share.taken {
            Some(taken) => taken.merge(more),
            None => share.taken = Some(more),
        }
        Ok(())
    }
}

impl Share {
    fn units(&self) -> usize {
        self.taken.as_ref().map_or(0, |taken| taken.num_permits())
    }

    /// Whether nothing is taken.
    pub fn is_empty(&self) -> bool {
        self.taken.is_none()
    }
}
