//! Two hosts' logs of an incident, written by the loggers that the hosts themselves use.
//!
//! A server that holds a model is leaving while one host can't reach the store. There are four
//! requests: one is refused; one has an unknown outcome, since the connection to its server was
//! reset; one stream is resumed on another server and is late; one is answered.

use std::{
    fmt::Write,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use observe::{
    Clock,
    story::{
        Answer, Arrival, Attempt, Belief, Candidate, DependencyState, End, Input, LeaseState,
        Logger, Outcome, Output, ServerStanding, Source, Step,
    },
};
use tempfile::TempDir;
use types::{request::Ran, routed::Kind};

const LEAVING_SERVER: &str = "lector-3.9f02";
const REMAINING_SERVER: &str = "lector-5.117c";
const TICKET_SERVER: &str = "tickets-1.c0de";
const MODEL: &str = "carta";

/// Directory with the log files of `front-a-1` and `front-b-1`.
pub struct Logs(TempDir);

impl Logs {
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    pub fn write() -> Logs {
        let clock = Clock::system();
        let (buffer_a, buffer_b) = (Buffer::default(), Buffer::default());
        let a = logger("front-a-1", 101, &clock, &buffer_a);
        let b = logger("front-b-1", 102, &clock, &buffer_b);
        log_incident(&a, &b);
        let directory = tempfile::tempdir().unwrap();
        let mut text = buffer_a.0.lock().unwrap().clone();
        text.push_str(
            "{\"time\":\"2026-01-01T00:00:00Z\",\"level\":\"WARN\",\"message\":\"words\"}\n",
        );
        std::fs::write(directory.path().join("front-a-1.log"), text).unwrap();
        // As a log collector writes it: host and time before each line, the last line truncated.
        let prefixed = buffer_b.0.lock().unwrap().lines().fold(String::new(), |mut text, line| {
            writeln!(text, "front-b-1 12.345 {line}").unwrap();
            text
        });
        let text = prefixed + "front-b-1 no line\nfront-b-1 12.4 {\"at\":1,\"up\":1,\"wa";
        std::fs::write(directory.path().join("front-b-1.log"), text).unwrap();
        Logs(directory)
    }
}

fn log_incident(a: &Logger, b: &Logger) {
    log_start(a, Source::Store);
    log_start(b, Source::Peer("front-a-1".into()));
    log_placement(b);
    a.belief(Belief::Declaration { version: 12, from: Source::Store });
    b.belief(Belief::Declaration { version: 12, from: Source::Peer("front-a-1".into()) });
    log_answered(a);
    log_unclear(a);
    a.belief(Belief::Dependency {
        name: "store".into(),
        state: DependencyState::Lost,
        why: "no answer for 2 s".into(),
    });
    log_late(a, b);
    log_refused(a, b);
    let why = "asked to stop".into();
    b.belief(Belief::Lease {
        duty: "placement".into(),
        state: LeaseState::Released,
        fence: 41,
        left: None,
        why,
    });
}

fn log_start(logger: &Logger, from: Source) {
    let settings = serde_json::json!({"log": {"level": "info"}});
    logger.belief(Belief::Start { program: "0.1.0".into(), settings });
    logger.belief(Belief::Declaration { version: 11, from });
    log_server(logger, LEAVING_SERVER, ServerStanding::Seen, Source::Store, "registered");
    log_server(logger, REMAINING_SERVER, ServerStanding::Seen, Source::Store, "registered");
    log_server(logger, TICKET_SERVER, ServerStanding::Seen, Source::Store, "registered");
}

fn log_placement(logger: &Logger) {
    logger.belief(Belief::Lease {
        duty: "placement".into(),
        state: LeaseState::Gained,
        fence: 41,
        left: Some(ms(2400)),
        why: "the one before lapsed".into(),
    });
    logger.belief(Belief::Placement {
        server: REMAINING_SERVER.into(),
        action: "load".into(),
        model: MODEL.into(),
        adapter: None,
        demand: Some(7.5),
        replicas: 1,
        why: "demand".into(),
    });
    logger.belief(Belief::Order {
        server: REMAINING_SERVER.into(),
        action: "load".into(),
        model: MODEL.into(),
        adapter: None,
        fence: 41,
        expected: Some(2),
        answer: Answer::Accepted,
        took: ms(3),
    });
}

fn log_answered(a: &Logger) {
    let mut story = a.request("well-1".into());
    story.record(Step::Arrived(arrival("pages", Kind::Idempotent, None, ms(1000))));
    story.record(Step::Attempt(attempt(1, TICKET_SERVER, "request", "least")));
    story.end(end(Outcome::Answered, Some(200), None, Some(ms(31)), 0, ms(32)));
}

fn log_unclear(a: &Logger) {
    let mut story = a.request("unclear-1".into());
    story.record(Step::Arrived(arrival("tickets", Kind::NonIdempotent, None, ms(1000))));
    story.record(Step::Attempt(attempt(1, TICKET_SERVER, "request", "least")));
    log_server(a, TICKET_SERVER, ServerStanding::Suspected, Source::Itself, "connection reset");
    story.record(Step::AttemptEnded {
        attempt: 1,
        server: TICKET_SERVER.into(),
        outcome: "reset".into(),
        status: None,
        ran: Ran::MayHaveRun,
    });
    story.end(end(Outcome::Unclear, Some(502), Some("reset"), None, 0, ms(118)));
}

fn log_late(a: &Logger, b: &Logger) {
    let mut story = b.request("late-1".into());
    story.record(Step::Arrived(arrival("letters", Kind::Stream, Some(MODEL), ms(12_000))));
    let candidates = vec![candidate(LEAVING_SERVER, 40, 210), candidate(REMAINING_SERVER, 95, 180)];
    story.record(Step::Attempt(Attempt {
        candidates,
        ..attempt(1, LEAVING_SERVER, "request", "least")
    }));
    log_server(b, LEAVING_SERVER, ServerStanding::Gone, Source::Itself, "connection reset");
    log_server(
        a,
        LEAVING_SERVER,
        ServerStanding::Leaving,
        Source::Peer("front-b-1".into()),
        "told",
    );
    story.record(Step::AttemptEnded {
        attempt: 1,
        server: LEAVING_SERVER.into(),
        outcome: "reset-midway".into(),
        status: Some(200),
        ran: Ran::Ran,
    });
    story.record(Step::Resumed { attempt: 2, server: REMAINING_SERVER.into(), after: 12 });
    story.end(end(Outcome::Late, Some(200), Some("pause"), Some(ms(52)), 47, ms(2210)));
    b.belief(Belief::Dropped { full: 0, rate_limited: 3, plans: 0 });
}

fn log_refused(a: &Logger, b: &Logger) {
    b.belief(Belief::Wish {
        model: MODEL.into(),
        adapter: None,
        replicas: 1,
        since: ms(900),
        why: "no-room".into(),
    });
    let mut story = a.request("refused-1".into());
    story.record(Step::Arrived(arrival("notes", Kind::Stream, Some(MODEL), ms(4000))));
    story.record(Step::Queued {
        why: "servers-full".into(),
        inputs: vec![Input::own("waiting", 3.0), Input::received("running", 64.0, ms(210))],
    });
    story.record(Step::Refused {
        why: "goal-out-of-reach".into(),
        inputs: vec![Input::own("estimate_ms", 870.0), Input::own("goal_ms", 400.0)],
        retry_after: Some(ms(600)),
    });
    story.end(end(Outcome::Refused, Some(503), Some("goal-out-of-reach"), None, 0, ms(2)));
}

fn log_server(
    logger: &Logger,
    id: &str,
    standing: ServerStanding,
    from: Source,
    why: &'static str,
) {
    let (server, why) = (id.into(), why.into());
    logger.belief(Belief::Server { server, standing, from, service: None, address: None, why });
}

fn arrival(route: &str, repeat: Kind, model: Option<&str>, deadline: Duration) -> Arrival {
    let model = model.map(Into::into);
    let route = route.into();
    Arrival { route, version: 12, model, adapter: None, customer: None, repeat, deadline }
}

fn attempt(attempt: u32, server: &str, sent: &'static str, why: &'static str) -> Attempt {
    Attempt {
        attempt,
        server: server.into(),
        address: "10.1.0.11:8000".parse().unwrap(),
        sent: sent.into(),
        why: why.into(),
        estimate: Some(ms(40)),
        left: ms(990),
        candidates: vec![],
    }
}

fn candidate(server: &str, estimate: u64, age: u64) -> Candidate {
    Candidate { server: server.into(), estimate: ms(estimate), age: Some(ms(age)) }
}

fn end(
    outcome: Outcome,
    status: Option<u16>,
    why: Option<&'static str>,
    first: Option<Duration>,
    events: u32,
    duration: Duration,
) -> End {
    End { outcome, status, why: why.map(Into::into), cause: None, first, events, duration }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn logger(host: &str, run: u64, clock: &Clock, buffer: &Buffer) -> Logger {
    let output = Output::Custom(Arc::new(buffer.clone()), LevelFilter::Info);
    Logger::new(host.into(), run, clock.clone(), output)
}

/// A log in memory; clones share it.
#[derive(Clone, Debug, Default)]
struct Buffer(Arc<Mutex<String>>);

impl Log for Buffer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        writeln!(self.0.lock().unwrap(), "{}", record.args()).unwrap();
    }

    fn flush(&self) {}
}
