//! A log in memory, and typical steps of a request.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    fmt::Write,
    sync::{Arc, Mutex},
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use observe::{
    Clock,
    story::{Arrival, Attempt, End, Logger, Outcome, Output},
};
use types::routed::Kind;

/// A log that keeps its lines in memory; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MemoryLog(Arc<Mutex<String>>);

impl MemoryLog {
    pub fn text(&self) -> String {
        self.0.lock().unwrap().clone()
    }
}

impl Log for MemoryLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        writeln!(self.0.lock().unwrap(), "{}", record.args()).unwrap();
    }

    fn flush(&self) {}
}

pub fn logger(log: &MemoryLog, level: LevelFilter) -> Logger {
    let output = Output::Custom(Arc::new(log.clone()), level);
    Logger::new("host-0".into(), 7, Clock::system(), output)
}

pub fn arrival(route: &str) -> Arrival {
    Arrival {
        route: route.into(),
        version: 3,
        model: Some("carta".into()),
        adapter: None,
        customer: Some("harbour".into()),
        repeat: Kind::Stream,
        deadline: Duration::from_secs(4),
    }
}

pub fn attempt(number: u32, server: &str) -> Attempt {
    Attempt {
        attempt: number,
        server: server.into(),
        address: "127.0.0.1:80".parse().unwrap(),
        sent: "request".into(),
        why: "least".into(),
        estimate: Some(Duration::from_millis(40)),
        left: Duration::from_millis(3900),
        candidates: vec![],
    }
}

pub fn end(outcome: Outcome) -> End {
    End {
        outcome,
        status: Some(200),
        why: None,
        cause: None,
        first: Some(Duration::from_millis(52)),
        events: 47,
        duration: Duration::from_millis(900),
    }
}
