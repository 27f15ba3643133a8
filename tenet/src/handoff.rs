//! The newest value of one thread for another: a later value replaces one that was not taken yet. Checked under
//! loom (`--cfg loom`).

#[cfg(loom)]
use loom::sync::{Arc, Mutex};
#[cfg(not(loom))]
use std::sync::{Arc, Mutex};

pub struct Handoff<T> {
    cell: Arc<Mutex<(u64, T)>>,
    seen: u64,
}

impl<T: Clone> Handoff<T> {
    pub fn new(t: T) -> (Giver<T>, Handoff<T>) {
        let cell = Arc::new(Mutex::new((0, t)));
        (Giver { cell: cell.clone() }, Handoff { cell, seen: 0 })
    }

    pub fn newer(&mut self) -> Option<T> {
        let g = self.cell.lock().ok()?;
        (g.0 > self.seen).then(|| {
            self.seen = g.0;
            g.1.clone()
        })
    }
}

pub struct Giver<T> {
    cell: Arc<Mutex<(u64, T)>>,
}

impl<T> Giver<T> {
    pub fn give(&self, t: T) {
        if let Ok(mut g) = self.cell.lock() {
            g.0 += 1;
            g.1 = t;
        }
    }
}
