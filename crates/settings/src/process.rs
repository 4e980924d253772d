//! Settings of one host's process, read from a file when it starts.
//!
//! They are the only source of the host's name, addresses and availability zone. Everything that
//! operators change while the process runs is in the declared configuration instead.

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
    routed::{Dialect, Retry, Revocation, RoutedSettings},
};

/// Reads a process's settings from a file.
///
/// # Errors
///
/// Every finding: a file that can't be read or parsed, values of the wrong type, settings that
/// contradict each other or allow unauthenticated access.
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

/// Settings of one host's process. Unknown keys are findings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name, availability zone and listener addresses of this host.
    pub host: Host,
    /// Address of the platform, which serves the object API and the list of hosts.
    pub platform: SocketAddr,
    /// Peer listeners of some other hosts, queried if the platform is down when this host starts.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Whether the hosts in `peers` use the port of this host's own peer listener; the ports given
    /// in `peers` are then ignored.
    #[serde(default)]
    pub peers_share_port: bool,
    /// Address at which other hosts reach this host's peer listener, if network address translation
    /// makes it differ from the address it listens on.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Token that operators must send. Without one, the operators' listener must be on loopback.
    #[serde(default)]
    pub operators_token: Option<String>,
    /// Token that hosts send to each other. Without one, the peer listener must be on loopback.
    #[serde(default)]
    pub peers_token: Option<String>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub bounds: Bounds,
    /// Time limits of a planned stop.
    #[serde(default)]
    pub drain: Drain,
    /// Intervals of periodic work.
    #[serde(default)]
    pub intervals: Intervals,
    /// Planning of model loads and unloads.
    #[serde(default)]
    pub planning: Planning,
    /// Admission control and concurrency limits.
    #[serde(default)]
    pub traffic: Traffic,
    /// Destination and level of the log.
    #[serde(default)]
    pub log: Log,
    /// If set, the process routes requests by host and path instead of serving the chat interface.
    #[serde(default)]
    pub routed: Option<RoutedSettings>,
}

impl Process {
    /// Returns a copy without the tokens, which can be logged.
    #[must_use]
    pub fn without_secrets(&self) -> Process {
        Process { operators_token: None, peers_token: None, ..self.clone() }
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of a request to a model, in bytes.
    pub body_bytes: usize,
    /// Idle timeout of a connection within a request; milliseconds in JSON.
    #[serde(rename = "idle_ms", with = "millis")]
    pub idle: Duration,
    /// Timeout of a whole request; milliseconds in JSON.
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

/// Admission control and concurrency limits.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Which requests are admitted.
    pub admission: Admission,
    /// Algorithm that sets the limit on requests in flight for each server and model.
    pub limit: Limit,
}

/// Policy that decides which requests are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// Requests that are expected to meet their target, within the concurrency limits; others are
    /// refused early.
    #[default]
    Judged,
    /// Every request, immediately.
    Open,
}

/// Algorithm that sets a concurrency limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Follows the gradient of the time to first token.
    #[default]
    Gradient,
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// A constant number of requests in flight.
    Fixed(std::num::NonZeroU32),
}

/// Time limits of a planned stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long the host reports that it isn't ready before it stops listening, so that the load
    /// balancer stops sending to it; milliseconds in JSON.
    #[serde(rename = "balancer_ms", with = "millis")]
    pub balancer: Duration,
    /// Maximum wait for requests in flight to complete; milliseconds in JSON.
    #[serde(rename = "finish_ms", with = "millis")]
    pub finish: Duration,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { balancer: Duration::from_secs(3), finish: Duration::from_secs(600) }
    }
}

/// Intervals of periodic work.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intervals {
    /// Time between reads of the platform's list of hosts; milliseconds in JSON.
    #[serde(rename = "list_ms", with = "millis")]
    pub list: Duration,
    /// Time between two fetches of one backend server's load report; milliseconds in JSON.
    #[serde(rename = "report_ms", with = "millis")]
    pub report: Duration,
    /// Time between heartbeats to other hosts; milliseconds in JSON.
    #[serde(rename = "heartbeat_ms", with = "millis")]
    pub heartbeat: Duration,
    /// Time between planning rounds; milliseconds in JSON.
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

/// Destination and level of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// File to which JSON lines are written; standard error if none.
    pub file: Option<PathBuf>,
    /// Least severe level that is written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { file: None, level: "info".into() }
    }
}
