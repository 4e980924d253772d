//! Tests of the commands that show hosts, servers, events and moves, and of exit codes.

mod common;

use common::{Site, ctl, text};
use rstest::rstest;

#[tokio::test]
async fn status_has_a_line_for_each_host_also_for_one_that_does_not_answer() {
    let site = Site::start(2).await;
    let mut list = site.list();
    let mut unresponsive = list.hosts[0].clone();
    unresponsive.host.id = "silent".into();
    unresponsive.host.operators = "127.0.0.1:1".parse().unwrap();
    list.hosts.push(unresponsive);
    site.platform.set_list(list);
    common::until("the list is read", async || {
        site.hosts[0].context().fleet.list().hosts.len() == 3
    })
    .await;
    let run = site.ctl(&["status"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let lines: Vec<Vec<&str>> =
        run.out.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines[0], ["HOST", "ZONE", "LISTED", "STATE", "NUMBER", "HEARD", "REPORTING"]);
    assert_eq!(lines[1], ["host-0", "med-a", "live", "ready", "1", "1", "1/1"]);
    assert_eq!(lines[3], ["silent", "med-a", "live", "no", "answer"]);
    let json = site.json(&["status"]).await;
    assert_eq!(json["hosts"][1]["status"]["configuration"], 1);
    assert!(json["hosts"][2]["no_answer"].is_string());
    site.stop().await;
}

#[tokio::test]
async fn where_names_the_servers_that_hold_a_model_and_its_adapters() {
    let site = Site::start(1).await;
    let run = site.ctl(&["where", "carta"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let lines: Vec<Vec<&str>> =
        run.out.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines[0], ["SERVER", "GROUP", "ZONE", "UNIT", "VERSION", "STATE", "MIB"]);
    assert!(
        lines.contains(&vec!["lector-1", "lector", "med-a", "carta", "1", "ready", "10000"]),
        "{lines:?}"
    );
    assert!(
        lines.contains(&vec!["lector-1", "lector", "med-a", "carta:notaria", "1", "ready", "100"]),
        "{lines:?}"
    );

    let none = site.ctl(&["where", "nobody"]).await;
    assert_eq!((none.code, none.out.as_str()), (1, "no server reports nobody\n"));
    site.stop().await;
}

#[tokio::test]
async fn drain_asks_the_host_that_is_named() {
    let site = Site::start(2).await;
    let run = site.ctl(&["drain", "host-1"]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "host-1 drains\n"));
    let is_stopping = |host: usize| site.hosts[host].context().stop_requested.is_cancelled();
    assert_eq!((is_stopping(0), is_stopping(1)), (false, true));
    let unknown = site.ctl(&["drain", "host-9"]).await;
    assert_eq!(unknown.code, 1);
    assert!(unknown.err.contains("no host `host-9`"), "{}", unknown.err);
    site.stop().await;
}

#[tokio::test]
async fn a_wrong_token_is_refused_in_words() {
    let site = Site::start(1).await;
    let token = site.files.path().join("token");
    std::fs::write(&token, "another-token-of-this-length").unwrap();
    let run = site.ctl(&["status"]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("/hosts: 401 Unauthorized"), "{}", run.err);
    site.stop().await;
}

#[tokio::test]
async fn the_first_host_that_answers_is_asked() {
    let site = Site::start(1).await;
    let live = site.operators(0).to_string();
    let run = site.ctl(&["where", "carta", "--host", "127.0.0.1:1", "--host", &live]).await;
    assert_eq!(run.code, 0, "{run:?}");
    site.stop().await;
}

#[rstest]
#[case::no_command(&[], 2, "Usage:")]
#[case::no_host(&["status"], 2, "--host ADDRESS")]
#[case::no_such_command(&["frob"], 2, "unrecognized")]
#[case::nobody_there(&["status", "--host", "127.0.0.1:1"], 1, "no host answers")]
#[case::bad_time(&["timeline", "--from", "noon", "--host", "127.0.0.1:1"], 2, "RFC 3339")]
#[tokio::test]
async fn what_cannot_be_done_ends_with_its_code(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let run = ctl(arguments).await;
    assert_eq!(run.code, code, "{run:?}");
    assert!(run.err.contains(expected), "{}", run.err);
}

#[tokio::test]
async fn help_names_every_command_and_exit_code() {
    let help = ctl(&["--help"]).await;
    assert_eq!(help.code, 0);
    let commands =
        ["check", "diff", "apply", "get", "status", "where", "moves", "timeline", "drain"];
    for word in commands.iter().chain(&["Exit codes:", "3  refused", "--json", "--host"]) {
        assert!(help.out.contains(word), "no {word:?} in {}", help.out);
    }
}

#[tokio::test]
async fn a_token_file_that_is_not_there_is_named() {
    let missing = text(std::path::Path::new("/nowhere/token"));
    let run = ctl(&["status", "--host", "127.0.0.1:1", "--token-file", &missing]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("/nowhere/token: "), "{}", run.err);
}

#[tokio::test]
async fn timeline_merges_the_events_of_all_hosts_causes_first() {
    let site = Site::start(2).await;
    let mut changed = common::config();
    changed["weights"] = serde_json::json!({"attainment": 1, "moves": 7});
    let file = site.write("a.json", &changed, Some(1));
    assert_eq!(site.ctl(&["apply", &file, "--wait"]).await.code, 0);

    let run = site.ctl(&["timeline"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let position = |expected: &[&str]| {
        let is_match = |line: &str| expected.iter().all(|word| line.contains(word));
        run.out
            .lines()
            .position(is_match)
            .unwrap_or_else(|| panic!("no {expected:?} in {}", run.out))
    };
    let patch = position(&["host-0", " patch ", "verdict=accepted"]);
    let first = position(&["host-0", " configuration ", "number=2"]);
    let second = position(&["host-1", " configuration ", "number=2"]);
    assert!(patch < first && patch < second, "{}", run.out);

    let json = site.json(&["timeline", "--model", "nobody"]).await;
    assert_eq!(json, serde_json::json!({"events": [], "silent": []}));
    let page = text(&site.files.path().join("page.html"));
    assert_eq!(site.ctl(&["timeline", "--page", &page]).await.code, 0);
    assert!(std::fs::read_to_string(&page).unwrap().contains("<html"));
    site.stop().await;
}

#[tokio::test]
async fn moves_shows_what_a_new_version_set_going_until_it_is_settled() {
    let site = Site::start(2).await;
    let mut changed = common::config();
    changed["models"]["carta"]["version"] = "2".into();
    let file = site.write("a.json", &changed, Some(1));
    assert_eq!(site.ctl(&["apply", &file, "--wait"]).await.code, 0);

    let is_settled = |json: &serde_json::Value, action: &str| {
        let settled = json["settled"].as_array().unwrap();
        settled.iter().any(|one| one["action"][action]["unit"]["model"]["version"].is_string())
    };
    common::until("the old version is gone", async || {
        let json = site.json(&["moves"]).await;
        is_settled(&json, "load")
            && is_settled(&json, "unload")
            && json["open"].as_array().unwrap().is_empty()
    })
    .await;
    let run = site.ctl(&["moves"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    for expected in ["no open moves", "load carta 2", "unload carta 1", "lector-1", "IN DOUBT"] {
        assert!(run.out.contains(expected), "no {expected:?} in {}", run.out);
    }
    let residents = site.ctl(&["where", "carta"]).await.out;
    let old = |line: &str| line.split_whitespace().collect::<Vec<_>>()[3..5] == ["carta", "1"];
    assert!(!residents.lines().any(old), "{residents}");
    site.stop().await;
}
