//! What reaches the traffic side of a node, and how packets of other nodes become such inputs.
use crate::base::*;
use crate::kind::Reject;
use crate::query::BackRes;
use crate::session::Req;
use crate::table::Table;
use crate::wire::*;
use std::sync::Arc;

pub enum FrontIn {
    Wakeup,
    Table(Arc<Table>, Time),
    Call {
        call: u64,
        req: Req,
    },
    /// Another node's attempt at a request, for the process `to`.
    Carry {
        from: NodeId,
        addr: Addr,
        go: u64,
        to: NodeId,
        by: Time,
        load: Load,
    },
    /// The answer to attempt `go` of the process `to`.
    Carried {
        from: NodeId,
        to: NodeId,
        go: u64,
        clock: Time,
        done: Result<Done, Reject>,
    },
    Back {
        token: u64,
        res: BackRes,
    },
    Echo {
        from: NodeId,
        addr: Addr,
        reply: bool,
    },
    Stopping,
}

impl FrontIn {
    /// The input that a packet is for the traffic side; a packet for the control side comes back.
    pub fn from_packet(packet: Packet) -> Result<FrontIn, Box<Packet>> {
        let Packet {
            from,
            addr,
            cluster,
            msg,
        } = packet;
        Ok(match msg {
            Msg::Carry { go, to, by, load } => FrontIn::Carry {
                from,
                addr,
                go,
                to,
                by,
                load,
            },
            Msg::Carried {
                to,
                go,
                clock,
                done,
            } => FrontIn::Carried {
                from,
                to,
                go,
                clock,
                done,
            },
            Msg::Echo { reply } => FrontIn::Echo { from, addr, reply },
            msg => {
                return Err(Box::new(Packet {
                    from,
                    addr,
                    cluster,
                    msg,
                }))
            }
        })
    }
}
