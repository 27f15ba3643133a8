//! What the daemons share: the clock, sockets, HTTP, files, threads and settings.
//!
//! The core (`tenet`) decides and does no I/O; the modules here carry out what it returns and feed it
//! what arrives.

pub mod back;
pub mod calls;
pub mod clock;
pub mod dialect;
pub mod doors;
pub mod files;
pub mod http;
pub mod line;
pub mod link;
pub mod message_budget;
pub mod net;
pub mod own;
pub mod paths;
pub mod run;
pub mod settings;
pub mod threads;
pub mod traffic;
