//! The founded cluster that every search starts from.

use crate::sim::node_addr;
use tenet::base::{Addr, NodeId, Time};
use tenet::colleagues::{Colleagues, ALIVE, SUSPECT};
use tenet::disk::{Durable, Seat, View};
use tenet::state::{Ask, Op, State};
use tenet::wire::{Msg, Summary};

/// How many machines hold control state; all of them vote.
pub const MACHINES: usize = 3;
/// How far the clock advances at once: three steps are a lease with its margin for drift.
pub const STEP: Time = 220;

const FIRST_ID: NodeId = 11;
const CLUSTER: u64 = 77;
const WIRE: u8 = 2;
const CLIENT: usize = 9;

/// Machine `index` as views name it.
pub fn seat(index: usize) -> Seat {
    Seat {
        id: FIRST_ID + index as NodeId,
        addr: node_addr(index + 1),
    }
}

/// The machine that an address belongs to.
pub fn index_of(addr: Addr) -> Option<usize> {
    (0..MACHINES).find(|index| seat(*index).addr == addr)
}

/// Where the client that proposes waits for outcomes.
pub fn client() -> Addr {
    node_addr(CLIENT)
}

/// The disk of machine `index` right after the cluster was founded.
pub fn founded(index: usize) -> Durable {
    let seats: Vec<Seat> = (0..MACHINES).map(seat).collect();
    Durable {
        id: seat(index).id,
        pledge: seats.clone(),
        view: View::in_sync(1, CLUSTER, seats.clone(), seats),
        whole: 1,
        state: State {
            cluster: CLUSTER,
            ..State::default()
        },
        ..Durable::default()
    }
}

/// A change that every state accepts, so that only replication decides its outcome.
pub fn proposal(id: u64) -> Ask {
    let op = Op::Enrol {
        id,
        addr: client(),
        http: client(),
        domain: "d".into(),
        disk: false,
    };
    Ask {
        id,
        question: id,
        from: client(),
        at: 0,
        op,
    }
}

fn summary(index: usize, status: u8, view: u64) -> Summary {
    Summary {
        id: seat(index).id,
        addr: seat(index).addr,
        http: seat(index).addr,
        domain: "d".into(),
        disk: true,
        life: 1,
        status,
        view,
        mark: 0,
        allows: false,
        stopping: false,
    }
}

/// What the failure detector of machine `index` says: who is silent since when, and each one's view.
pub fn colleagues(
    index: usize,
    silent_since: &[Option<Time>; MACHINES],
    views: &[u64; MACHINES],
    now: Time,
) -> Colleagues {
    let mut known = Colleagues::new(summary(index, ALIVE, views[index]), Vec::new(), WIRE);
    let mut ignored = Vec::new();
    for peer in (0..MACHINES).filter(|peer| *peer != index) {
        let news = vec![summary(peer, ALIVE, views[peer])];
        let hello = Msg::Probe { seq: 1, news };
        known.take(now, seat(peer).id, seat(peer).addr, &hello, &mut ignored);
    }
    for peer in (0..MACHINES).filter(|peer| *peer != index) {
        if let Some(since) = silent_since[peer] {
            let third = seat(MACHINES - index - peer);
            let news = vec![summary(peer, SUSPECT, views[peer])];
            let rumour = Msg::Probe { seq: 1, news };
            known.take(since, third.id, third.addr, &rumour, &mut ignored);
        }
    }
    known.stories.clear();
    known
}
