//! The process's log: JSON lines written by `log4rs`.
//!
//! Each line holds the time, level, target, message and, under `attributes`, the fields given with
//! the key-value syntax of `log`. The default is standard error, since hosts have no disks.
//!
//! [`Sink::StandardOutput`] is for hosts that log [stories](crate::story): their lines go through a
//! [queue](Lines) of fixed size to a writer thread, so that no caller ever waits for a slow reader,
//! and dropped records are counted. The other sinks write synchronously.

mod queue;
mod rate_limit;

use std::{io, path::PathBuf, sync::OnceLock};

use ::log::{LevelFilter, SetLoggerError};
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Root, runtime::ConfigErrors},
    encode::json::JsonEncoder,
};

pub use self::{
    queue::{Bounds, Dropped, Lines},
    rate_limit::{Class, Exceeded, RateLimit, Window},
};

/// The queue of the process's log; set if the sink is standard output.
static LINES: OnceLock<Lines> = OnceLock::new();

/// Destination of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    #[default]
    StandardError,
    /// A file, which is appended to.
    File(PathBuf),
    /// Standard output, through a queue of fixed size.
    StandardOutput(Bounds),
}

/// Configuration of the process's log, before it is started.
#[derive(Clone, Debug)]
pub struct Log {
    sink: Sink,
    level: LevelFilter,
}

impl Log {
    /// Returns a log of level `info` to standard error.
    pub fn new() -> Log {
        Log { sink: Sink::StandardError, level: LevelFilter::Info }
    }

    /// Sets the destination.
    #[must_use]
    pub fn sink(mut self, sink: Sink) -> Log {
        self.sink = sink;
        self
    }

    /// Sets the level; less severe records are not written.
    #[must_use]
    pub fn level(mut self, level: LevelFilter) -> Log {
        self.level = level;
        self
    }

    /// Installs this as the process's log, until the process ends.
    ///
    /// # Errors
    ///
    /// The file can't be opened, the writer thread can't be started, or a log is already installed.
    pub fn start(self) -> Result<(), Error> {
        const NAME: &str = "lines";
        let appender = Appender::builder().build(NAME, appender(self.sink)?);
        // Records are filtered by the maximum level of `log`, which its macros check before they
        // format a record.
        let root = Root::builder().appender(NAME).build(LevelFilter::Trace);
        let config = Config::builder().appender(appender).build(root)?;
        log4rs::init_config(config)?;
        set_level(self.level);
        Ok(())
    }
}

/// Changes the level of the running log.
pub fn set_level(level: LevelFilter) {
    ::log::set_max_level(level);
}

/// Returns the number of records that the process's log has dropped.
pub fn dropped() -> Dropped {
    LINES.get().map(Lines::dropped).unwrap_or_default()
}

/// Waits until all logged lines are written, for at most one second. Called when a process ends.
pub fn flush() {
    ::log::logger().flush();
}

impl Default for Log {
    fn default() -> Log {
        Log::new()
    }
}

/// Error from starting the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file can't be opened.
    #[error("can't open log file {}: {cause}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error from opening it.
        #[source]
        cause: io::Error,
    },
    /// The configuration of `log4rs` is invalid.
    #[error("invalid log configuration: {0}")]
    Config(#[from] ConfigErrors),
    /// The writer thread can't be started.
    #[error("can't start the log's writer thread: {0}")]
    Writer(io::Error),
    /// A log is already installed.
    #[error("can't install the log: {0}")]
    Running(#[from] SetLoggerError),
}

fn appender(sink: Sink) -> Result<Box<dyn Append>, Error> {
    let encoder = Box::new(JsonEncoder::new());
    Ok(match sink {
        Sink::StandardError => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
        Sink::File(file) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(&file)
                .map_err(|cause| Error::File { file, cause })?,
        ),
        Sink::StandardOutput(bounds) => {
            let lines = Lines::start(bounds, io::stdout()).map_err(Error::Writer)?;
            Box::new(LINES.get_or_init(|| lines).clone())
        }
    })
}
