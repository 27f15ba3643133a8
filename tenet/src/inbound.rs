//! What reaches the traffic side of a node, and how packets of other nodes become such inputs.
use crate::base::*;
use crate::held::Asker;
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
    /// Another node's attempt at a request.
    Carry {
        asker: Asker,
        by: Time,
        load: Load,
    },
    /// The answer to attempt `go` that the process `to` sent to the process `asked`.
    Carried {
        from: NodeId,
        to: NodeId,
        asked: NodeId,
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
                asker: Asker {
                    node: from,
                    addr,
                    go,
                    asked: to,
                },
                by,
                load,
            },
            Msg::Carried {
                to,
                asked,
                go,
                clock,
                done,
            } => FrontIn::Carried {
                from,
                to,
                asked,
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
