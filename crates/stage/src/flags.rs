//! The command line, turned into validated settings before anything runs.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Parser, Subcommand};
use observe::log::{Bounds, Log, Sink};
use settings::{Findings, process::Process, read_process};
use tokio::signal::unix::{SignalKind, signal};

use crate::routed;

/// Serves many models on fewer accelerators: the program that runs on every entry host.
#[derive(Debug, Parser)]
#[command(version, about, long_about = None)]
pub struct Flags {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve callers until SIGTERM or Ctrl-C, then finish what is in flight and end.
    Serve {
        /// Settings of this host's process, in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Check a settings file, print every finding, and exit non-zero if there is one.
    Check {
        /// Settings of a host's process, in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read or is invalid.
    #[error("the settings are invalid:\n{0}")]
    Settings(#[from] Findings),
    /// The log can't be started.
    #[error(transparent)]
    Log(#[from] observe::log::Error),
    /// The settings name an unknown log level.
    #[error("invalid log level in the settings: {0}")]
    Level(#[from] log::ParseLevelError),
    /// The host can't start.
    #[error(transparent)]
    Serve(#[from] crate::Error),
    /// The host of a routed deployment can't start.
    #[error(transparent)]
    Relay(#[from] relay::Error),
    /// A call to the operating system failed, for example to set up a signal handler.
    #[error("system call failed: {0}")]
    System(#[from] io::Error),
}

impl Flags {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, or if the log or the host can't be started.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Serve { settings } => {
                let file = settings;
                let settings = read_process(&file)?;
                if let Some(routed) = settings.routed.clone() {
                    start_log(&settings.log, Sink::StandardOutput(Bounds::default()))?;
                    return routed::run(settings, routed, &file);
                }
                start_log(&settings.log, Sink::StandardError)?;
                let runtime = tokio::runtime::Runtime::new()?;
                runtime.block_on(serve(settings))
            }
            Command::Check { settings } => Ok(check(&settings)),
        }
    }
}

#[allow(clippy::print_stdout, reason = "the findings are what was asked for")]
fn check(settings: &Path) -> ExitCode {
    match read_process(settings) {
        Ok(_) => {
            println!("{}: no findings", settings.display());
            ExitCode::SUCCESS
        }
        Err(findings) => {
            println!("{findings}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(settings: &settings::process::Log, usual: Sink) -> Result<(), Error> {
    let sink = settings.file.clone().map_or(usual, Sink::File);
    let level = settings.level.parse()?;
    Ok(Log::new().sink(sink).level(level).start()?)
}

async fn serve(settings: Process) -> Result<ExitCode, Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let running = crate::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        () = running.context().stop_requested.cancelled() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    running.drain().await;
    Ok(ExitCode::SUCCESS)
}
