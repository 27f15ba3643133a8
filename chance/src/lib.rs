pub mod client;
pub mod fault;
pub mod node;
pub mod outside;
pub mod scripts;
pub mod sim;
pub mod step;
pub mod watch;
