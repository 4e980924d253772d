//! Errors of commands, and the exit codes of the process.

use std::{io, net::SocketAddr, path::PathBuf};

use settings::Findings;

/// Exit code of the process, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// The command succeeded.
    Done = 0,
    /// Failed: no host answers, a file can't be written, the object API is down.
    Failed = 1,
    /// The command line is invalid or incomplete.
    Usage = 2,
    /// The patch is based on an outdated number, or its name was already used by another patch.
    Stale = 3,
    /// The change was accepted, but was not in force on every live host in time.
    NotInForce = 4,
    /// Files have findings, or hosts refuse the configuration as invalid or for lack of memory.
    Refused = 5,
}

/// List of the exit codes that `--help` prints.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: no host answers, a file can't be written, the object API is down
  2  the command line can't be understood
  3  refused: the files are based on a number that is past
  4  accepted, but not in force on every live host in time
  5  refused: the files have findings, or memory can't hold the change";

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Files of the configuration have findings.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// No host responded; a cause for each.
    #[error("no host answers:\n{}", .0.join("\n"))]
    NoHost(Vec<String>),
    /// A host responded with an error status.
    #[error("{address}{path}: {status}{}", body_suffix(.body))]
    Status {
        /// Address of the operators' listener that responded.
        address: SocketAddr,
        /// Path and query of the request.
        path: String,
        /// HTTP status, other than 2xx.
        status: http::StatusCode,
        /// Text of the response, which explains the status; may be empty.
        body: String,
    },
    /// The body of a response could not be parsed.
    #[error("{address}{path}: invalid response: {cause}")]
    Response {
        /// Address of the operators' listener that responded.
        address: SocketAddr,
        /// Path and query of the request.
        path: String,
        /// Message of the JSON parser.
        cause: String,
    },
    /// A file can't be read or written.
    #[error("{}: {cause}", file.display())]
    File {
        /// Path, or a description such as `standard output` if it is no file.
        file: PathBuf,
        /// Error of the operating system, or of writing JSON.
        cause: io::Error,
    },
    /// The number that the files are based on is neither given nor stored beside them.
    #[error(
        "the number that the files are based on is unknown: `get --to` stores it beside them; \
         otherwise use --against NUMBER, or --against current to undo what others have changed \
         since"
    )]
    NoBase,
    /// A time on the command line is not in RFC 3339 format.
    #[error("`{0}` is not a time in RFC 3339 format")]
    InvalidTime(String),
    /// No host's address was given.
    #[error("no host given: use --host ADDRESS or set CYCLAMENCTL_HOSTS")]
    NoAddress,
    /// `explain` was called without a request, server, version or term.
    #[error("nothing to explain: give a request ID, or use --server, --version or --term")]
    NoQuery,
    /// The platform's list has no host of this name.
    #[error("no host `{0}` is on the platform's list")]
    UnknownHost(String),
}

impl Error {
    /// Exit code of a process that ends with this error.
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
