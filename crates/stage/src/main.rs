//! Entry point of a host's process.

use std::process::ExitCode;

use clap::Parser;
use stage::flags::Flags;

fn main() -> ExitCode {
    let result = Flags::parse().run();
    result.unwrap_or_else(|error| {
        #[allow(clippy::print_stderr, reason = "logs may not be set up yet")]
        {
            eprintln!("cyclamenstage: {error}");
        }
        ExitCode::FAILURE
    })
}
