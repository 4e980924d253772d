//! What can go wrong, and the exit code that says so.

use std::{io, net::SocketAddr, path::PathBuf};

use settings::Findings;

/// What the process ends with, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Done = 0,
    /// Failed: no host answers, a file can't be written, the object API is down.
    Failed = 1,
    /// The command line can't be understood.
    Usage = 2,
    /// The patch is against a number that is past.
    Stale = 3,
    /// The number is accepted, but not in force everywhere in time.
    NotInForce = 4,
    /// Files have findings, or the configuration can't be made.
    Refused = 5,
}

/// The exit codes, for `--help`.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: no host answers, a file can't be written, the object API is down
  2  the command line can't be understood
  3  refused: the files are based on a number that is past
  4  accepted, but not in force on every live host in time
  5  refused: the files have findings, or memory can't hold the change";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Files have findings.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// No host gave an answer.
    #[error("no host answers:\n{}", .0.join("\n"))]
    NoHost(Vec<String>),
    /// A host refused a request.
    #[error("{address}{path}: {status}{}", body_suffix(.body))]
    Status {
        /// The host's operators' listener.
        address: SocketAddr,
        /// What was asked for.
        path: String,
        /// Its answer.
        status: http::StatusCode,
        /// What it says.
        body: String,
    },
    /// An answer can't be understood.
    #[error("{address}{path}: the answer can't be understood: {cause}")]
    Response {
        /// The host's operators' listener.
        address: SocketAddr,
        /// What was asked for.
        path: String,
        /// What the parser says.
        cause: String,
    },
    /// A file can't be read or written.
    #[error("{}: {cause}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The number that the files are based on is not known.
    #[error(
        "which number are the files based on? `get --to` keeps it beside them; else say --against \
         NUMBER, or --against current to undo what others have changed since"
    )]
    NoBase,
    /// A time can't be read.
    #[error("`{0}` is no time in RFC 3339 form")]
    InvalidTime(String),
    /// No host's address was given.
    #[error("which host? say --host ADDRESS, or set CYCLAMENCTL_HOSTS")]
    NoAddress,
    /// Nothing was asked for.
    #[error("explain what? name a request, or say --server, --version or --term")]
    NoQuery,
    /// No host of this name is on the platform's list.
    #[error("no host `{0}` is on the platform's list")]
    UnknownHost(String),
}

impl Error {
    /// The exit code for it.
    pub fn code(&self) -> Code {
        match self {
            Error::Findings(_) => Code::Refused,
            Error::NoBase | Error::NoAddress | Error::NoQuery | Error::InvalidTime(_) => {
                Code::Usage
            }
            _ => Code::Failed,
        }
    }
}

fn body_suffix(body: &str) -> String {
    match body.trim() {
        "" => String::new(),
        text => format!(": {text}"),
    }
}
