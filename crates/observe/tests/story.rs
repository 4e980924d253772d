//! Stories: which lines are logged for requests and beliefs, and which are omitted.

mod common;

use std::time::Duration;

use common::{MemoryLog, arrival, attempt, end, logger};
use log::LevelFilter::{self, Debug, Error, Info, Warn};
use observe::story::{
    Belief, Candidate, Content, DependencyState, Input, Outcome, Skipped, Source, Step, read,
    sample::{INTERVAL, UNSAMPLED},
};
use rstest::rstest;
use types::request::Ran;

fn kinds(log: &MemoryLog) -> Vec<String> {
    let kind = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        value["kind"].as_str().unwrap().to_owned()
    };
    log.text().lines().map(kind).collect()
}

#[rstest]
#[case::answered(Info, Outcome::Answered, 1, vec!["ended"])]
#[case::answered_but_not_asked_for(Warn, Outcome::Answered, 1, vec![])]
#[case::answered_step_by_step(Debug, Outcome::Answered, 1, vec!["arrived", "attempt", "ended"])]
#[case::late(Info, Outcome::Late, 1, vec!["arrived", "attempt", "ended"])]
#[case::tried_again(Info, Outcome::Answered, 2, vec!["arrived", "attempt", "attempt", "ended"])]
#[case::failed(Warn, Outcome::Failed, 1, vec!["arrived", "attempt", "ended"])]
#[case::refused_step_by_step(Debug, Outcome::Refused, 0, vec!["arrived", "ended"])]
#[case::failed_but_not_asked_for(Error, Outcome::Failed, 1, vec![])]
fn a_request_gets_all_its_steps_unless_it_went_well(
    #[case] level: LevelFilter,
    #[case] outcome: Outcome,
    #[case] attempts: u32,
    #[case] expected: Vec<&str>,
) {
    let log = MemoryLog::default();
    let mut story = logger(&log, level).request("r-1".into());
    story.record(Step::Arrived(arrival("chat")));
    (1..=attempts).for_each(|number| story.record(Step::Attempt(attempt(number, "s-1"))));
    story.end(end(outcome));

    assert_eq!(kinds(&log), expected);
}

#[test]
fn each_line_names_host_run_time_and_request_and_reads_back() {
    let log = MemoryLog::default();
    let mut story = logger(&log, Info).request("r-1".into());
    let mut sent = attempt(1, "s-2");
    sent.candidates = vec![Candidate {
        server: "s-2".into(),
        estimate: Duration::from_millis(40),
        age: Some(Duration::from_millis(210)),
    }];
    let steps = [
        Step::Arrived(arrival("chat")),
        Step::Queued {
            why: "servers-full".into(),
            inputs: vec![
                Input::own("waiting", 3.0),
                Input::received("running", 8.0, Duration::from_millis(120)),
            ],
        },
        Step::Attempt(sent),
        Step::AttemptEnded {
            attempt: 1,
            server: "s-2".into(),
            outcome: "reset".into(),
            status: None,
            ran: Ran::MayHaveRun,
        },
    ];
    steps.iter().for_each(|step| story.record(step.clone()));
    story.end(end(Outcome::Unclear));

    let lines: Vec<_> = log.text().lines().map(|line| read(line).unwrap()).collect();
    let contents: Vec<_> = lines.iter().map(|line| line.content.clone()).collect();
    assert_eq!(contents[..4], steps.map(Content::Step));
    let Content::Step(Step::Ended(ended)) = &contents[4] else { panic!("{:?}", contents[4]) };
    assert_eq!((&*ended.server.clone().unwrap(), ended.attempts), ("s-2", 1));
    assert_eq!(ended.route.as_deref(), Some("chat"));
    for (line, next) in lines.iter().zip(&lines[1..]) {
        assert_eq!((&*line.host, line.run), ("host-0", 7));
        assert_eq!(line.request.as_deref(), Some("r-1"));
        assert!(line.time.at < next.time.at && line.time.up <= next.time.up);
        assert!(Duration::ZERO < line.time.wall);
    }
}

#[test]
fn a_story_that_is_dropped_tells_that_the_caller_left() {
    let log = MemoryLog::default();
    let mut story = logger(&log, Info).request("r-1".into());
    story.record(Step::Arrived(arrival("chat")));
    drop(story);

    assert_eq!(kinds(&log), ["arrived", "ended"]);
    assert!(log.text().contains(r#""outcome":"left""#), "{}", log.text());
}

#[test]
fn steps_beyond_the_bound_are_counted() {
    let log = MemoryLog::default();
    let mut story = logger(&log, Info).request("r-1".into());
    (0..70).for_each(|_| story.record(Step::Queued { why: "full".into(), inputs: vec![] }));
    story.end(end(Outcome::Refused));

    assert_eq!(log.text().lines().count(), 65);
    assert!(log.text().contains(r#""lost":6"#), "{}", log.text());
}

#[test]
fn requests_that_go_well_are_sampled_by_route_and_the_lines_say_for_how_many_they_stand() {
    let mut sampler = observe::story::sample::Sampler::default();
    let second = Duration::from_secs(5);
    let requests = UNSAMPLED + 10 * INTERVAL;
    let weights: Vec<u32> = (0..requests).filter_map(|_| sampler.weigh(second, "chat")).collect();

    assert_eq!(weights.len() as u32, UNSAMPLED + 10);
    assert_eq!(weights.iter().sum::<u32>(), requests);
    assert_eq!(sampler.weigh(second, "notes"), Some(1));
    assert_eq!(sampler.weigh(second * 2, "chat"), Some(1));
}

#[rstest]
#[case(Belief::Declaration { version: 12, from: Source::Peer("host-2".into()) }, Info)]
#[case(Belief::Customers { version: 12, added: vec!["mill".into()], removed: vec!["quarry".into()], keys_added: 2, keys_removed: 1, limits_changed: vec!["harbour".into()] }, Info)]
#[case(Belief::Dependency { name: "store".into(), state: DependencyState::Lost, why: "503".into() }, Warn)]
#[case(Belief::Start { program: "0.1.0".into(), settings: serde_json::json!({"log": {"level": "info"}}) }, Info)]
fn beliefs_are_told_at_their_level_and_read_back(
    #[case] belief: Belief,
    #[case] level: LevelFilter,
) {
    let log = MemoryLog::default();
    let below = if level == Info { Warn } else { Error };
    logger(&log, below).belief(belief.clone());
    assert_eq!(log.text(), "");
    logger(&log, level).belief(belief.clone());

    let line = read(log.text().trim_end()).unwrap();
    assert_eq!((line.content, line.request), (Content::Belief(belief), None));
}

#[rstest]
#[case::cut(r#"{"at":1,"up":2,"wall":3,"host":"h","run":1,"kind":"sta"#, Skipped::Bad)]
#[case::nothing("host-0 12.345 hello", Skipped::Bad)]
#[case::unknown_kind(r#"{"at":1,"up":2,"wall":3,"host":"h","run":1,"kind":"new"}"#, Skipped::Bad)]
#[case::words(r#"host-0 1.5 {"level":"INFO","message":"ready"}"#, Skipped::Other)]
fn lines_of_no_story_are_told_apart(#[case] line: &str, #[case] expected: Skipped) {
    assert_eq!(read(line).unwrap_err(), expected);
}

#[test]
fn what_stands_before_the_object_is_passed_over() {
    let log = MemoryLog::default();
    logger(&log, Info).belief(Belief::Stop { why: "asked".into() });
    let prefixed = format!("front-a-1 12.345 {}", log.text());

    assert_eq!(read(&prefixed), read(&log.text()));
    assert!(read(&prefixed).is_ok());
}
