//! The log: JSON lines through `log4rs`.
//!
//! Each line holds the time, level, target, message and, under `attributes`, the fields given
//! through `log`'s key-value syntax. Standard error is the usual place, since hosts have no disks.
//!
//! [`Sink::StandardOutput`] is for hosts that tell [stories](crate::story): their lines go through a
//! [queue](Lines) of fixed size to a writer of its own, so that no caller ever waits for a reader,
//! and what is left out is counted. The other sinks write at once.

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

/// The queue of the process's log, if it has one.
static LINES: OnceLock<Lines> = OnceLock::new();

/// Where the log's lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    #[default]
    StandardError,
    /// A file; lines are added at its end.
    File(PathBuf),
    /// Standard output, through a queue of fixed size.
    StandardOutput(Bounds),
}

/// A log that is not yet running.
#[derive(Clone, Debug)]
pub struct Log {
    sink: Sink,
    level: LevelFilter,
}

impl Log {
    /// A log of level `info` to standard error.
    pub fn new() -> Log {
        Log { sink: Sink::StandardError, level: LevelFilter::Info }
    }

    /// Writes there.
    #[must_use]
    pub fn sink(mut self, sink: Sink) -> Log {
        self.sink = sink;
        self
    }

    /// Writes lines of this level and above.
    #[must_use]
    pub fn level(mut self, level: LevelFilter) -> Log {
        self.level = level;
        self
    }

    /// Starts the process's log; it runs until the process ends.
    ///
    /// # Errors
    ///
    /// The file can't be opened, or a log is running already.
    pub fn start(self) -> Result<(), Error> {
        const NAME: &str = "lines";
        let appender = Appender::builder().build(NAME, appender(self.sink)?);
        // The level is `log`'s own, which callers ask for before they make a line.
        let root = Root::builder().appender(NAME).build(LevelFilter::Trace);
        let config = Config::builder().appender(appender).build(root)?;
        log4rs::init_config(config)?;
        set_level(self.level);
        Ok(())
    }
}

/// Writes lines of this level and above from now on.
pub fn set_level(level: LevelFilter) {
    ::log::set_max_level(level);
}

/// Records that the process's log has left out.
pub fn dropped() -> Dropped {
    LINES.get().map(Lines::dropped).unwrap_or_default()
}

/// Waits until what was logged is written, a second at most; for the end of a process.
pub fn flush() {
    ::log::logger().flush();
}

impl Default for Log {
    fn default() -> Log {
        Log::new()
    }
}

/// Why the log could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be opened.
    #[error("log file {}: {cause}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        #[source]
        cause: io::Error,
    },
    /// The log is set up wrongly.
    #[error("log set-up: {0}")]
    Config(#[from] ConfigErrors),
    /// The writer's thread can't be started.
    #[error("log writer: {0}")]
    Writer(io::Error),
    /// A log is running already.
    #[error("log: {0}")]
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
