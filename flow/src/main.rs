//! The data plane daemon.

use bpaf::Parser;

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let flags = medium::settings::flags()
        .to_options()
        .descr("flow: firramp's data plane. Collects callers' sessions; acts as gateway and fencing node where the fleet places those roles.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    medium::run::start(flags, false)
}
