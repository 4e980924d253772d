//! Entry point of the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use ctl::flags::Flags;

fn main() -> ExitCode {
    Flags::parse().run()
}
