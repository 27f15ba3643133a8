//! A control machine's own entry in gossip, for tests of what runs on it.

use tenet::base::{Addr, NodeId};
use tenet::wire::Summary;

/// A machine of the control plane in a zone, at the first log index.
pub fn control_machine(id: NodeId, domain: &str) -> Summary {
    Summary {
        id,
        addr: Addr::NONE,
        http: Addr::NONE,
        domain: domain.into(),
        disk: true,
        life: 1,
        status: 0,
        view: 1,
        mark: 1,
        allows: true,
        stopping: false,
    }
}
