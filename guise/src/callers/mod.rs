//! Callers that send requests to the fleet and note what they see.

mod outcome;
mod session;

pub use session::Session;

use crate::check::History;
use crate::mix::Kinds;
use medium::back::Back;
use medium::clock::Clock;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;

/// Response time of one request.
pub struct Latency {
    /// Kind of the request.
    pub kind: String,
    /// Time from its sending to its answer, ms.
    pub took: u64,
    /// Whether it was acknowledged.
    pub kept: bool,
}

/// What all callers share.
pub struct Site {
    /// Clock of the fleet.
    pub clock: Clock,
    /// Client for the nodes' HTTP interface.
    pub back: Back,
    /// Kinds of request that the configuration offers.
    pub kinds: Kinds,
    /// What callers saw so far.
    pub history: Mutex<History>,
    /// Region of each node, by the node's id.
    pub regions: Mutex<HashMap<String, String>>,
    /// Set to end all callers.
    pub stop: AtomicBool,
    /// Mean pause of a caller between requests, ms.
    pub pause: u64,
    /// Response times of all requests.
    pub latencies: Mutex<Vec<Latency>>,
}
