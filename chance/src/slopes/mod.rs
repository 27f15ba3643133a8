//! How the cost of each role grows with nodes, databases, sessions and routes. Real machines,
//! many in one process, under virtual time. Processor times are of the machine that runs it.
pub mod bench;
pub mod change;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod report;
pub mod scene;
pub mod tally;
