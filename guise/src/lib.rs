//! Runs a whole fleet on one machine with stand-in servers, and checks what callers saw.
//!
//! `world` and `termed` hold two kinds of stand-in servers; the first keeps outcomes by request
//! id, the second numbers its terms and keeps none. `check` and `judge` are their checkers, `mix`
//! chooses the callers' requests. These need no I/O and are also used by the simulator. The other
//! modules run real processes and serve the stand-ins over HTTP.

#![warn(missing_docs)]

pub mod callers;
pub mod check;
pub mod fleet;
pub mod judge;
pub mod mix;
pub mod processes;
pub mod stand_ins;
pub mod statements;
pub mod store;
pub mod termed;
pub mod world;

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also after a thread panicked that held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
