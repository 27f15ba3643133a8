//! A simulator of whole fleets: the real machines of `tenet` on simulated disks, networks, clocks and database
//! servers, under virtual time and seeded faults. A run is determined by its script and seed, so that a failing
//! one replays by number alone; checkers look at what callers saw against what the servers hold.
//!
//! `scripts`, `days`, `pairs`, `cuts`, `losses` and `races` say what goes wrong and when; `sim` and `step` run it.
//! `model` searches all schedules of the agreement within bounds, `slopes` measures what each role costs.

pub mod cause;
pub mod client;
pub mod cuts;
pub mod days;
pub mod fault;
pub mod lives;
pub mod losses;
pub mod model;
pub mod node;
pub mod outside;
pub mod pairs;
pub mod patron;
mod picks;
pub mod planned;
pub mod platter;
pub mod race_check;
pub mod races;
pub mod record;
pub mod repairs;
pub mod rolls;
pub mod runs;
pub mod scripts;
pub mod sim;
pub mod slopes;
pub mod step;
pub mod terms;
pub mod told;
pub mod watch;
pub mod wires;
