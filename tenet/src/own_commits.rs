//! Which of its own commits a session must see: the position of the newest one in each database that it wrote to. A
//! session keeps them for as long as it lasts, for its route may move to another database and back.

/// The newest own commits of a session.
#[derive(Default)]
pub struct OwnCommits {
    /// By index of the database. Few: a session writes to the databases that its route had.
    newest: Vec<(usize, u64)>,
}

impl OwnCommits {
    /// The session committed at a position of a database's log.
    pub fn add(&mut self, database: usize, position: u64) {
        let held = self.newest.iter_mut().find(|(held, _)| *held == database);
        match held {
            Some((_, newest)) => *newest = position.max(*newest),
            None => self.newest.push((database, position)),
        }
    }

    /// The position that a log must hold to have all of them; 0 when there are none.
    pub fn position(&self, database: usize) -> u64 {
        let held = self.newest.iter().find(|(held, _)| *held == database);
        held.map_or(0, |(_, newest)| *newest)
    }
}
