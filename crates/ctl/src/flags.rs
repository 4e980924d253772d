//! Flags and subcommands.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{ArgGroup, Args, Parser, Subcommand};
use types::{config::Number, order, routed};

use crate::{
    client::Client,
    commands,
    error::{Code, EXIT_CODES, Error},
    report::{Format, Report},
};

/// Declares models and services, and shows the state of the hosts and servers that run them.
#[derive(Debug, Parser)]
#[command(name = "cyclamenctl", version, about, long_about = None, after_help = EXIT_CODES)]
pub struct Flags {
    #[command(flatten)]
    access: Access,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// Addresses of hosts, and the token that they require.
#[derive(Debug, Args)]
struct Access {
    /// Address of a host's operators' listener; if several are given, they are tried in order.
    #[arg(
        long = "host",
        value_name = "ADDRESS",
        env = "CYCLAMENCTL_HOSTS",
        value_delimiter = ',',
        global = true
    )]
    hosts: Vec<SocketAddr>,
    /// File that contains the operators' token.
    #[arg(long, value_name = "FILE", env = "CYCLAMENCTL_TOKEN_FILE", global = true)]
    token_file: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check files of a declared configuration, and print every finding with its location.
    Check {
        /// A JSON file, or a directory of them.
        path: PathBuf,
    },
    /// Show what applying files would change, and whether it would be accepted.
    Diff {
        /// A JSON file, or a directory of them.
        path: PathBuf,
    },
    /// Make the declared configuration equal to files, as one patch.
    Apply {
        /// A JSON file, or a directory of them.
        path: PathBuf,
        /// Number that the files are based on, or `current`; by default the one stored beside them.
        #[arg(long, value_name = "NUMBER")]
        against: Option<Base>,
        /// Wait until every live host has the number in force.
        #[arg(long)]
        wait: bool,
        /// Timeout of the wait, in seconds.
        #[arg(long, value_name = "SECONDS", default_value = "10", requires = "wait")]
        within: Seconds,
    },
    /// Print the declared configuration in force, or write it to files.
    Get {
        /// A file, or an existing directory, which gets a file for each section. The number is
        /// stored beside it.
        #[arg(long, value_name = "PATH")]
        to: Option<PathBuf>,
    },
    /// Show every host: whether it is ready, and the number in force on it.
    Status,
    /// Show the servers that hold a model.
    Where {
        /// Name of the model.
        model: String,
    },
    /// Show loads and unloads: what and why, whether settled or open, and for how long.
    Moves,
    /// Show the events of all hosts in causal order.
    Timeline(Timeline),
    /// Explain from the hosts' logs why a request ended as it did, and what was known then.
    Explain(Explain),
    /// Start a planned stop of a host: it completes requests in flight and exits.
    Drain {
        /// Name of the host.
        host: String,
    },
}

/// Arguments of `timeline`.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Only events of this request.
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Only events of this model.
    #[arg(long)]
    pub model: Option<String>,
    /// Only events of this backend server.
    #[arg(long)]
    pub server: Option<String>,
    /// Only events from this time on, in RFC 3339 format.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// Only events up to this time, in RFC 3339 format.
    #[arg(long, value_name = "TIME")]
    pub until: Option<String>,
    /// Write a self-contained HTML page instead of printing the events.
    #[arg(long, value_name = "FILE")]
    pub page: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
#[command(group(
    ArgGroup::new("ask").required(true).args(["request", "server", "version", "term"])
))]
pub struct Explain {
    /// ID of the request.
    #[arg(value_name = "REQUEST-ID")]
    pub request: Option<String>,
    /// A run of a server's process, instead of a request.
    #[arg(long, value_name = "ID")]
    pub server: Option<String>,
    /// Number of a declaration, instead of a request.
    #[arg(long, value_name = "NUMBER")]
    pub version: Option<routed::Version>,
    /// Fencing number of a term of a lease, instead of a request.
    #[arg(long, value_name = "FENCE")]
    pub term: Option<order::Fence>,
    /// Logs of all hosts, in any order; `-` is standard input. Text before the first `{` of a line
    /// is ignored.
    #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
    pub logs: Vec<PathBuf>,
}

/// Value of `--against`: the number that files are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The number in force when the command runs.
    Current,
    /// A given number.
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

/// A duration that is given as a whole number of seconds.
#[derive(Clone, Copy, Debug)]
pub struct Seconds(pub Duration);

impl std::str::FromStr for Seconds {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Seconds, Self::Err> {
        text.parse().map(|seconds| Seconds(Duration::from_secs(seconds)))
    }
}

impl Flags {
    /// Runs the command, prints its report or error, and returns the exit code.
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

    /// Runs the command without printing anything.
    ///
    /// # Errors
    ///
    /// The command failed; a report with an exit code other than zero is not an error.
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

#[allow(clippy::print_stderr, clippy::print_stdout, reason = "errors are printed for the user")]
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
