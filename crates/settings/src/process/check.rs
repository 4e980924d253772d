//! Checks of process settings that deserialization can't express.

use std::{net::SocketAddr, time::Duration};

use super::{Process, Revocation, RoutedSettings};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Minimum length of a token, in characters; a shorter one could be guessed.
const MIN_TOKEN_LENGTH: usize = 16;

/// An error in one value, or in the combination of several.
pub(super) struct Problem {
    /// JSON pointers of the values that were compared, the one at fault first.
    pub(super) paths: Vec<&'static str>,
    pub(super) message: String,
}

impl Problem {
    fn new(path: &'static str, message: impl Into<String>) -> Problem {
        Problem { paths: vec![path], message: message.into() }
    }

    fn with_path(mut self, path: &'static str) -> Problem {
        self.paths.push(path);
        self
    }
}

/// Checks all settings. The caller drops problems that involve a value that could not be read.
pub(super) fn problems(process: &Process) -> Vec<Problem> {
    let mut problems = Vec::new();
    names(process, &mut problems);
    addresses(process, &mut problems);
    match &process.routed {
        // The hosts of a routed deployment accept no configuration patches, and its network is
        // private, so it needs no tokens.
        Some(routed) => routed_bounds(routed, &mut problems),
        None => tokens(process, &mut problems),
    }
    bounds(process, &mut problems);
    intervals(process, &mut problems);
    planning(process, &mut problems);
    problems
}

fn names(process: &Process, problems: &mut Vec<Problem>) {
    let names = [("/host/id", &process.host.id), ("/host/zone", &process.host.zone)];
    let empty = names.into_iter().filter(|(_, name)| name.trim().is_empty());
    problems.extend(empty.map(|(path, _)| Problem::new(path, "must not be empty")));
    if !LEVELS.contains(&process.log.level.as_str()) {
        let message = format!("no level `{}`, expected one of {LEVELS:?}", process.log.level);
        problems.push(Problem::new("/log/level", message));
    }
}

fn listeners(process: &Process) -> [(&'static str, SocketAddr); 3] {
    [
        ("/host/callers", process.host.callers),
        ("/host/peers", process.host.peers),
        ("/host/operators", process.host.operators),
    ]
}

fn addresses(process: &Process, problems: &mut Vec<Problem>) {
    let listeners = listeners(process);
    for (path, address) in listeners {
        if address.ip().is_unspecified() {
            let message = format!(
                "{address} is a wildcard address; give the address at which others reach the host"
            );
            problems.push(Problem::new(path, message));
        }
    }
    for (index, (path, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
            let message = format!("{address} is taken by {other}");
            problems.push(Problem::new(path, message).with_path(other));
        }
    }
    if process.platform.port() == 0 {
        problems.push(Problem::new("/platform", "needs a port"));
    }
}

fn tokens(process: &Process, problems: &mut Vec<Problem>) {
    let [_, peers, operators] = listeners(process);
    let tokens = [
        ("/operators_token", &process.operators_token, operators),
        ("/peers_token", &process.peers_token, peers),
    ];
    for (path, token, (listener, address)) in tokens {
        match token {
            Some(token) if token.chars().count() < MIN_TOKEN_LENGTH => {
                let message = format!("shorter than {MIN_TOKEN_LENGTH} characters");
                problems.push(Problem::new(path, message));
            }
            Some(token) if !token.chars().all(|c| c.is_ascii_graphic()) => {
                let message = "must contain only visible ASCII characters";
                problems.push(Problem::new(path, message));
            }
            None if !address.ip().is_loopback() => {
                let message = format!("missing, though {address} isn't loopback");
                problems.push(Problem::new(path, message).with_path(listener));
            }
            _ => {}
        }
    }
}

fn bounds(process: &Process, problems: &mut Vec<Problem>) {
    let bounds = &process.bounds;
    let sizes =
        [("/bounds/head_bytes", bounds.head_bytes), ("/bounds/body_bytes", bounds.body_bytes)];
    let zeros = sizes.into_iter().filter(|(_, size)| *size == 0);
    problems.extend(zeros.map(|(path, _)| Problem::new(path, "must be positive")));
    if bounds.request < bounds.idle {
        let problem = Problem::new("/bounds/idle_ms", "longer than the timeout of a whole request");
        problems.push(problem.with_path("/bounds/request_ms"));
    }
}

fn intervals(process: &Process, problems: &mut Vec<Problem>) {
    let times = [
        ("/bounds/idle_ms", process.bounds.idle),
        ("/bounds/request_ms", process.bounds.request),
        ("/drain/finish_ms", process.drain.finish),
        ("/intervals/list_ms", process.intervals.list),
        ("/intervals/report_ms", process.intervals.report),
        ("/intervals/heartbeat_ms", process.intervals.heartbeat),
        ("/intervals/plan_ms", process.intervals.plan),
        ("/planning/lease_ms", process.planning.lease),
        ("/planning/order_ms", process.planning.order),
        ("/planning/linger_ms", process.planning.linger),
        ("/planning/list_lag_ms", process.planning.list_lag),
    ];
    let zeros = times.into_iter().filter(|(_, time)| *time == Duration::ZERO);
    problems.extend(zeros.map(|(path, _)| Problem::new(path, "must be positive")));
}

fn planning(process: &Process, problems: &mut Vec<Problem>) {
    let planning = &process.planning;
    let rate = planning.loads_per_second;
    if !(rate.is_finite() && 0.0 < rate) {
        problems.push(Problem::new("/planning/loads_per_second", "must be positive"));
    }
    let counts = [
        ("/planning/loads_at_once", planning.loads_at_once),
        ("/planning/adapters_at_once", planning.adapters_at_once),
    ];
    let zeros = counts.into_iter().filter(|(_, count)| *count == 0);
    problems.extend(zeros.map(|(path, _)| Problem::new(path, "must be positive")));
    if planning.list_lag <= process.intervals.list {
        let message = "must be longer than the time between two reads of the list";
        let problem = Problem::new("/planning/list_lag_ms", message);
        problems.push(problem.with_path("/intervals/list_ms"));
    }
}

fn routed_bounds(routed: &RoutedSettings, problems: &mut Vec<Problem>) {
    let times = [
        ("/routed/apply_ms", routed.apply),
        ("/routed/drain_ms", routed.drain),
        ("/routed/grace_s", routed.grace),
        ("/routed/turn_ms", routed.turn),
        ("/routed/retry/window_s", routed.retry.window),
        ("/routed/revocation/within_ms", routed.revocation.within),
    ];
    let zeros = times.into_iter().filter(|(_, time)| *time == Duration::ZERO);
    problems.extend(zeros.map(|(path, _)| Problem::new(path, "must be positive")));
    let values =
        [("/routed/retry/ratio", routed.retry.ratio), ("/routed/retry/extra", routed.retry.extra)];
    let negative = values.into_iter().filter(|(_, value)| !(value.is_finite() && 0.0 <= *value));
    problems.extend(negative.map(|(path, _)| Problem::new(path, "must not be negative")));
    let Revocation { strict, within } = routed.revocation;
    // A host may learn of a removal as late as of any other change of the declaration.
    if strict && within != Duration::ZERO && within < routed.apply {
        let message = "shorter than the time after which a declaration must be in force";
        let problem = Problem::new("/routed/revocation/within_ms", message);
        problems.push(problem.with_path("/routed/apply_ms"));
    }
}
