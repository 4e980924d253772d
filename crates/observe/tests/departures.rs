//! Departures of servers in the log, which timelines of late requests rest on.

use std::time::Duration;

use observe::story::{Belief, ServerStanding, Source, Text};
use rstest::rstest;

fn server(standing: ServerStanding) -> Belief {
    Belief::Server {
        server: "i-1".into(),
        standing,
        from: Source::Store,
        service: None,
        address: None,
        why: Text::Borrowed("it is registered so"),
    }
}

#[rstest]
#[case(ServerStanding::Leaving, true)]
#[case(ServerStanding::Gone, true)]
#[case(ServerStanding::Seen, false)]
#[case(ServerStanding::Suspected, false)]
fn departures_are_dropped_last(#[case] standing: ServerStanding, #[case] is_plan: bool) {
    assert_eq!(server(standing).is_plan(), is_plan);
}

#[test]
fn the_source_of_the_servers_is_logged_with_its_age() {
    let belief = Belief::ServerSource {
        from: Source::Peer("host-3".into()),
        age: Duration::from_millis(250),
        why: Text::Borrowed("the relay answered"),
    };
    assert!(belief.is_plan());
    let line = serde_json::to_value(&belief).expect("a belief is JSON");
    let expected = serde_json::json!({
        "kind": "server-source", "from": {"peer": "host-3"}, "age_ms": 250,
        "why": "the relay answered",
    });
    assert_eq!(line, expected);
}
