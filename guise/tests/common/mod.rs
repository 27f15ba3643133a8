//! What several tests need.

use std::process::Command;

/// A command for one of the workspace's programs.
pub fn bin(name: &str) -> Command {
    let program = std::env::current_exe().unwrap();
    Command::new(program.parent().unwrap().parent().unwrap().join(name))
}
