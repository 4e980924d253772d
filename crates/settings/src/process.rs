//! Settings of one host's process.
//!
//! A process learns its name, addresses and availability zone from here and nowhere else.
//! Everything that operators change while it runs is in the declared configuration instead.

mod check;
mod planning;
mod routed;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::{host::Host, time::millis};

use crate::{
    finding::{Finding, Findings, read_bytes},
    node::Node,
    shape,
};

pub use self::{
    planning::Planning,
    routed::{Dialect, Retry, Routed},
};

/// Reads a process's settings from a file.
///
/// # Errors
///
/// Every finding: a file that can't be read or parsed, shapes that don't fit, settings that
/// contradict each other or let strangers in.
pub fn read_process(file: &Path) -> Result<Process, Findings> {
    let node = Node::parse(file, &read_bytes(file)?)?;
    let mut findings = Findings(node.duplicates());
    let reading = shape::read::<Process>(&node);
    if let Some(process) = &reading.value {
        let is_unreadable = |paths: &[&str]| paths.iter().any(|path| reading.is_placeholder(path));
        let problems = check::problems(process).into_iter();
        findings.0.extend(problems.filter(|problem| !is_unreadable(&problem.paths)).map(
            |problem| {
                let path = problem.paths[0];
                let place = node.place_of(path).clone();
                Finding { place, path: path.into(), message: problem.message }
            },
        ));
    }
    findings.0.extend(reading.findings);
    match reading.value {
        Some(process) => findings.or_value(process),
        None => Err(findings.sorted()),
    }
}

/// Settings of one host's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Who and where this host is.
    pub host: Host,
    /// Where the platform's object API and host list listen.
    pub platform: SocketAddr,
    /// Peers' listeners of some other hosts, asked when a host starts while the platform is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Whether those hosts listen for others at this host's port, whatever port they are named with.
    #[serde(default)]
    pub peers_share_port: bool,
    /// Where other hosts reach this host's listener for them, if addresses are translated between them.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Token that operators must show; none lets in loopback only.
    #[serde(default)]
    pub operators_token: Option<String>,
    /// Token that hosts show each other; none lets in loopback only.
    #[serde(default)]
    pub peers_token: Option<String>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub bounds: Bounds,
    /// Times of a planned stop.
    #[serde(default)]
    pub drain: Drain,
    /// How often things are asked for.
    #[serde(default)]
    pub intervals: Intervals,
    /// Planning of moves.
    #[serde(default)]
    pub planning: Planning,
    /// How requests are admitted and limited.
    #[serde(default)]
    pub traffic: Traffic,
    /// Where logs go.
    #[serde(default)]
    pub log: Log,
    /// Routes by host and path in place of the chat interface, if it is set.
    #[serde(default)]
    pub routed: Option<Routed>,
}

impl Process {
    /// The settings without what only their readers may know; for the log.
    #[must_use]
    pub fn without_secrets(&self) -> Process {
        Process { operators_token: None, peers_token: None, ..self.clone() }
    }
}

/// Bounds on what callers send.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a call to a model, in bytes.
    pub body_bytes: usize,
    /// Longest silence on a connection within a request; milliseconds in JSON.
    #[serde(rename = "idle_ms", with = "millis")]
    pub idle: Duration,
    /// Longest time for a whole request; milliseconds in JSON.
    #[serde(rename = "request_ms", with = "millis")]
    pub request: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            head_bytes: 64 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle: Duration::from_secs(30),
            request: Duration::from_secs(300),
        }
    }
}

/// How requests are admitted and limited.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// What is admitted.
    pub admission: Admission,
    /// How the limit on work in flight for each server and model is set.
    pub limit: Limit,
}

/// What is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// What can meet its target, within the limits; the rest is refused early.
    #[default]
    Judged,
    /// Everything at once.
    Open,
}

/// How a limit is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// After the gradient of the first-token time.
    #[default]
    Gradient,
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// Always this many.
    Fixed(std::num::NonZeroU32),
}

/// Times of a planned stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long the host says not ready before it stops listening, so that the balancer notices;
    /// milliseconds in JSON.
    #[serde(rename = "balancer_ms", with = "millis")]
    pub balancer: Duration,
    /// Longest wait for requests in flight; milliseconds in JSON.
    #[serde(rename = "finish_ms", with = "millis")]
    pub finish: Duration,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { balancer: Duration::from_secs(3), finish: Duration::from_secs(600) }
    }
}

/// How often things are asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intervals {
    /// Between reads of the platform's host list; milliseconds in JSON.
    #[serde(rename = "list_ms", with = "millis")]
    pub list: Duration,
    /// Between load reports of one backend server; milliseconds in JSON.
    #[serde(rename = "report_ms", with = "millis")]
    pub report: Duration,
    /// Between heartbeats to other hosts; milliseconds in JSON.
    #[serde(rename = "heartbeat_ms", with = "millis")]
    pub heartbeat: Duration,
    /// Between rounds of planning; milliseconds in JSON.
    #[serde(rename = "plan_ms", with = "millis")]
    pub plan: Duration,
}

impl Default for Intervals {
    fn default() -> Intervals {
        Intervals {
            list: Duration::from_secs(1),
            report: Duration::from_millis(250),
            heartbeat: Duration::from_millis(250),
            plan: Duration::from_secs(1),
        }
    }
}

/// Where logs go.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// File for the JSON lines; standard error if there is none.
    pub file: Option<PathBuf>,
    /// Least level that is written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { file: None, level: "info".into() }
    }
}
