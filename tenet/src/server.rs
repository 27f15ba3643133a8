//! What servers announce of themselves.

use crate::state::{Op, Server};

impl Server {
    /// True when both tell the same, whatever their sequence numbers.
    pub fn says(&self, o: &Server) -> bool {
        Server {
            seq: o.seq,
            ..self.clone()
        } == *o
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
