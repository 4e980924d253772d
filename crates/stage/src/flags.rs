//! The command line, turned into checked settings before anything runs.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Parser, Subcommand};
use observe::log::{Log, Sink};
use settings::process::Process;
use tokio::signal::unix::{SignalKind, signal};

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

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("{}: {cause}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The settings are not usable.
    #[error("{}: {cause}", file.display())]
    Settings {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: serde_json::Error,
    },
    /// The log can't be started.
    #[error(transparent)]
    Log(#[from] observe::log::Error),
    /// The settings name no level of the log.
    #[error("log level: {0}")]
    Level(#[from] log::ParseLevelError),
    /// The host can't serve.
    #[error(transparent)]
    Serve(#[from] crate::Error),
    /// The system refused something basic.
    #[error("system: {0}")]
    System(#[from] io::Error),
}

impl Flags {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Whatever stops it, with the file and the cause.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Serve { settings } => {
                let settings = read(&settings)?;
                start_log(&settings.log)?;
                let runtime = tokio::runtime::Runtime::new()?;
                runtime.block_on(serve(settings))
            }
            Command::Check { settings } => read(&settings).map(|_| ExitCode::SUCCESS),
        }
    }
}

fn read(file: &Path) -> Result<Process, Error> {
    let text = fs::read(file).map_err(|cause| Error::File { file: file.into(), cause })?;
    serde_json::from_slice(&text).map_err(|cause| Error::Settings { file: file.into(), cause })
}

fn start_log(settings: &settings::process::Log) -> Result<(), Error> {
    let sink = settings.file.clone().map_or(Sink::StandardError, Sink::File);
    let level = settings.level.parse()?;
    Ok(Log::new().sink(sink).level(level).start()?)
}

async fn serve(settings: Process) -> Result<ExitCode, Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let running = crate::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    running.drain().await;
    Ok(ExitCode::SUCCESS)
}
