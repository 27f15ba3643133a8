//! Servers as they announce themselves.
use crate::base::Addr;
use crate::labels::Labels;
use crate::state::{Op, State};
use speedy::{Readable, Writable};

/// A server as it announced itself.
#[derive(Clone, PartialEq, Readable, Writable)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Where it takes connections.
    pub addr: Addr,
    /// Its zone.
    pub domain: String,
    /// The labels that it gives itself.
    pub labels: Labels,
    /// Names its data: another one when it starts empty, was rebuilt or rewound its log.
    pub life: u64,
    /// It says that it takes writes.
    pub leads: bool,
    /// It says that it is leaving.
    pub leaving: bool,
    /// It numbers its leads, cuts its own log back to the leader's, and is told apart at connect.
    pub terms: bool,
    /// Rises with each announcement of one life; 0 when not told.
    pub seq: u64,
}

impl State {
    /// Whether a server numbers its terms. One that has left is taken to be of the same kind as those
    /// that stand: an ask for its promotion can then be taken for settled after a time.
    pub fn numbers_terms(&self, server: &str) -> bool {
        match self.servers.get(server) {
            Some(server) => server.terms,
            None => !self.servers.is_empty() && self.servers.values().all(|s| s.terms),
        }
    }
}

impl Server {
    /// Whether it has ended for sure: another server stands at its address.
    pub fn has_no_address(&self) -> bool {
        self.addr == Addr::NONE
    }

    /// Whether `o` says the same, but for its number.
    pub fn says(&self, o: &Server) -> bool {
        Server {
            seq: o.seq,
            ..self.clone()
        } == *o
    }

    /// What holds after this announcement, when `held` was announced before. One of a lower number that
    /// says that the server is leaving adds just that.
    pub(crate) fn over(self, held: &Server) -> Server {
        let overtaken = held.life == self.life && self.seq > 0 && self.seq < held.seq;
        match overtaken {
            true => Server {
                leaving: held.leaving || self.leaving,
                ..held.clone()
            },
            false => self,
        }
    }

    /// The server that an announcement tells of.
    pub fn told(op: &Op) -> Option<Server> {
        let Op::Announce {
            server,
            addr,
            domain,
            labels,
            life,
            leads,
            leaving,
            terms,
            seq,
        } = op
        else {
            return None;
        };
        Some(Server {
            name: server.clone(),
            addr: *addr,
            domain: domain.clone(),
            labels: labels.clone(),
            life: *life,
            leads: *leads,
            leaving: *leaving,
            terms: *terms,
            seq: *seq,
        })
    }
}
