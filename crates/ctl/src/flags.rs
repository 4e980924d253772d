//! The command line.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{ArgGroup, Args, Parser, Subcommand};
use types::{config::Number, order, routed};

use crate::{
    client::Client,
    commands,
    error::{Code, EXIT_CODES, Error},
    report::{Format, Report},
};

/// Declares models and services, and shows what the hosts make of them.
#[derive(Debug, Parser)]
#[command(name = "cyclamenctl", version, about, long_about = None, after_help = EXIT_CODES)]
pub struct Flags {
    #[command(flatten)]
    access: Access,
    /// Print JSON in place of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// How hosts are reached.
#[derive(Debug, Args)]
struct Access {
    /// A host's listener for operators; several are tried in order.
    #[arg(
        long = "host",
        value_name = "ADDRESS",
        env = "CYCLAMENCTL_HOSTS",
        value_delimiter = ',',
        global = true
    )]
    hosts: Vec<SocketAddr>,
    /// File that holds the operators' token.
    #[arg(long, value_name = "FILE", env = "CYCLAMENCTL_TOKEN_FILE", global = true)]
    token_file: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check files of a declared configuration, and print every finding with its place.
    Check {
        /// A JSON file, or a directory of them.
        path: PathBuf,
    },
    /// Show what applying files would change, and whether it would be accepted.
    Diff {
        /// A JSON file, or a directory of them.
        path: PathBuf,
    },
    /// Make files the declared configuration, as one patch.
    Apply {
        /// A JSON file, or a directory of them.
        path: PathBuf,
        /// Number that the files are based on, or `current`; else the one kept beside them.
        #[arg(long, value_name = "NUMBER")]
        against: Option<Base>,
        /// Wait until every live host has the number in force.
        #[arg(long)]
        wait: bool,
        /// Longest wait, in seconds.
        #[arg(long, value_name = "SECONDS", default_value = "10", requires = "wait")]
        within: Seconds,
    },
    /// Print the declared configuration in force, or write it to files.
    Get {
        /// A file, or a directory for a file for each section. The number is kept beside it.
        #[arg(long, value_name = "PATH")]
        to: Option<PathBuf>,
    },
    /// Show every host: whether it is ready, and the number in force there.
    Status,
    /// Show the servers that hold a model.
    Where {
        /// The model.
        model: String,
    },
    /// Show loads and unloads: what, why, settled or open, and for how long.
    Moves,
    /// Show the events of all hosts in causal order.
    Timeline(Timeline),
    /// Tell from the hosts' logs why a request ended as it did, with what was believed then.
    Explain(Explain),
    /// Ask a host for a planned stop: it finishes what is in flight and ends.
    Drain {
        /// Name of the host.
        host: String,
    },
}

/// Which events to show, and how.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Only what belongs to this request.
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Only what concerns this model.
    #[arg(long)]
    pub model: Option<String>,
    /// Only what concerns this backend server.
    #[arg(long)]
    pub server: Option<String>,
    /// Only from this time on, in RFC 3339 form.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// Only up to this time, in RFC 3339 form.
    #[arg(long, value_name = "TIME")]
    pub until: Option<String>,
    /// Write a self-contained page to look at.
    #[arg(long, value_name = "FILE")]
    pub page: Option<PathBuf>,
}

/// What to explain, and from which logs.
#[derive(Debug, Args)]
#[command(group(ArgGroup::new("ask").required(true).args(["request", "server", "version", "term"])))]
pub struct Explain {
    /// The request's id.
    #[arg(value_name = "REQUEST-ID")]
    pub request: Option<String>,
    /// A run of a server's process, in place of a request.
    #[arg(long, value_name = "ID")]
    pub server: Option<String>,
    /// A declaration.
    #[arg(long, value_name = "NUMBER")]
    pub version: Option<routed::Version>,
    /// A term of a lease, by its fencing number.
    #[arg(long, value_name = "FENCE")]
    pub term: Option<order::Fence>,
    /// Logs of all hosts, in any order; `-` is standard input. What stands before a line's first
    /// `{` is passed over.
    #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
    pub logs: Vec<PathBuf>,
}

/// The number that files are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Whatever is in force.
    Current,
    /// This one.
    Number(Number),
}

impl std::str::FromStr for Base {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Base, Self::Err> {
        match text {
            "current" => Ok(Base::Current),
            number => number.parse().map(Base::Number),
        }
    }
}

/// A time limit.
#[derive(Clone, Copy, Debug)]
pub struct Seconds(pub Duration);

impl std::str::FromStr for Seconds {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Seconds, Self::Err> {
        text.parse().map(|seconds| Seconds(Duration::from_secs(seconds)))
    }
}

impl Flags {
    /// Runs the command and prints what it found.
    pub fn run(self) -> ExitCode {
        let format = if self.json { Format::Json } else { Format::Text };
        let code = match self.report() {
            Ok(report) => {
                report.print(format);
                report.code
            }
            Err(error) => {
                print_error(&error, format);
                error.code()
            }
        };
        ExitCode::from(code as u8)
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Why it could not be run.
    pub fn report(self) -> Result<Report, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|cause| Error::File { file: "runtime".into(), cause })?;
        runtime.block_on(run(&self.access, self.command))
    }
}

impl Access {
    fn client(&self) -> Result<Client, Error> {
        let token = match &self.token_file {
            None => None,
            Some(file) => {
                let text = std::fs::read_to_string(file)
                    .map_err(|cause| Error::File { file: file.clone(), cause })?;
                Some(text.trim().to_owned())
            }
        };
        if self.hosts.is_empty() {
            return Err(Error::NoAddress);
        }
        Ok(Client::new(self.hosts.clone(), token))
    }
}

async fn run(access: &Access, command: Command) -> Result<Report, Error> {
    let client = || access.client();
    match command {
        Command::Check { path } => commands::check::run(&path),
        Command::Diff { path } => commands::diff::run(&client()?, &path).await,
        Command::Apply { path, against, wait, within } => {
            let wait = wait.then_some(within.0);
            commands::apply::run(&client()?, &path, against, wait).await
        }
        Command::Get { to } => commands::get::run(&client()?, to.as_deref()).await,
        Command::Status => commands::status::run(&client()?).await,
        Command::Where { model } => commands::residents::run(&client()?, &model).await,
        Command::Moves => commands::moves::run(&client()?).await,
        Command::Timeline(options) => commands::timeline::run(&client()?, &options).await,
        Command::Explain(options) => commands::explain::run(&options),
        Command::Drain { host } => commands::drain::run(&client()?, &host).await,
    }
}

#[allow(clippy::print_stderr, clippy::print_stdout, reason = "the user is to see it")]
fn print_error(error: &Error, format: Format) {
    match (error, format) {
        (Error::Findings(findings), Format::Json) => {
            println!("{:#}", serde_json::json!({"findings": findings}));
        }
        (Error::Findings(findings), Format::Text) => println!("{findings}"),
        _ if error.code() == Code::Usage => eprintln!("cyclamenctl: {error}\n\nSee --help."),
        _ => eprintln!("cyclamenctl: {error}"),
    }
}
