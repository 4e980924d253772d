//! The process's log on standard output. It is written by a child process, since a process has a
//! single log.

use std::process::Command;

use log::LevelFilter;
use observe::{
    Clock,
    log::{Bounds, Log, Sink, flush, set_level},
    story::{self, Belief, Content, Logger, Output, Skipped, Step, read},
};

/// Environment variable that is set for the child process.
const CHILD_VARIABLE: &str = "LOG_TO_STANDARD_OUTPUT";

/// Logs to standard output, if started as the child process of the test below.
#[test]
fn tell() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    Log::new().sink(Sink::StandardOutput(Bounds::default())).start().unwrap();
    story::install(Logger::new("host-0".into(), 7, Clock::system(), Output::Process));
    story::install(Logger::new("host-1".into(), 7, Clock::system(), Output::Process));
    story::belief(Belief::Stop { why: "first".into() });
    set_level(LevelFilter::Warn);
    story::belief(Belief::Stop { why: "below the level".into() });
    log::warn!("in words");
    let mut request = story::Request::new("r-1".into());
    request.record(Step::Queued { why: "full".into(), inputs: vec![] });
    drop(request);
    set_level(LevelFilter::Info);
    story::belief(Belief::Stop { why: "last".into() });
    flush();
}

#[test]
fn lines_of_a_process_come_out_whole_in_order_and_at_the_level_of_the_moment() {
    let mut command = Command::new(std::env::current_exe().unwrap());
    let output =
        command.args(["--exact", "tell", "--nocapture"]).env(CHILD_VARIABLE, "1").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with('{')).map(read).collect();

    let line = |at: usize| lines[at].clone().unwrap();
    let stop = |why: &'static str| Content::Belief(Belief::Stop { why: why.into() });
    assert_eq!(lines.len(), 5, "{text}");
    assert_eq!((&*line(0).host, line(0).content), ("host-0", stop("first")));
    assert_eq!(lines[1], Err(Skipped::Other));
    assert!(matches!(line(2).content, Content::Step(Step::Queued { .. })));
    assert!(matches!(line(3).content, Content::Step(Step::Ended(_))));
    assert_eq!(line(4).content, stop("last"));
}
