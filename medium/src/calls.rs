//! Calls that wait for their answer from another thread.

use std::collections::HashMap;
use std::sync::Mutex;
use tokio::sync::oneshot;

/// Open calls by number.
pub struct Calls<T> {
    m: Mutex<(u64, HashMap<u64, oneshot::Sender<T>>)>,
}

impl<T> Default for Calls<T> {
    fn default() -> Self {
        Calls {
            m: Mutex::new((0, HashMap::new())),
        }
    }
}

impl<T> Calls<T> {
    /// Opens a call: its number, and where its answer arrives.
    pub fn open(&self) -> (u64, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        let mut g = self.m.lock().unwrap_or_else(|e| e.into_inner());
        g.0 += 1;
        let k = g.0;
        g.1.insert(k, tx);
        (k, rx)
    }

    /// Answers a call; nothing happens if it is not open.
    pub fn end(&self, k: u64, t: T) {
        let mut g = self.m.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(tx) = g.1.remove(&k) {
            let _ = tx.send(t);
        }
    }
}
