//! The declared configuration with real host processes: concurrent patches, lost answers, outages,
//! and numbers that only increase.

mod common;

use std::{collections::BTreeMap, process::Command};

use common::{Answer, Site, get, send, until};
use rstest::rstest;
use serde_json::{Value, json};
use settings::process::Process;
use standin::engine;

fn engines(count: usize) -> Vec<engine::Settings> {
    let engine = |index| engine::Settings::new(&format!("lm-{index}")).with_model("m", "1", 10_000);
    (0..count).map(engine).collect()
}

fn model(memory: u64) -> Value {
    json!({"group": "lm", "version": "1", "memory": memory})
}

fn patch(id: &str, against: u64, changes: Value) -> Value {
    json!({"id": id, "against": against, "changes": changes})
}

async fn apply(site: &Site, host: usize, patch: &Value) -> Answer {
    let operators = site.hosts()[host].operators();
    let headers = [("content-type", "application/json")];
    send(operators, "POST", "/config/patches", &headers, &patch.to_string()).await
}

async fn in_force(site: &Site, host: usize) -> Value {
    get(site.hosts()[host].operators(), "/config").await.unwrap_or_default()
}

async fn until_in_force(site: &Site, number: u64) {
    for host in 0..site.hosts().len() {
        until("the configuration is in force", async || {
            in_force(site, host).await["number"] == number
        })
        .await;
    }
}

#[tokio::test]
async fn an_accepted_patch_is_in_force_on_every_host() {
    let site = Site::start(3, engines(1)).await;
    let changes = json!({"models": {"new": model(500)}});
    let answer = apply(&site, 0, &patch("a", 1, changes)).await;
    assert_eq!((answer.status, answer.json()), (200, json!({"outcome": "accepted", "number": 2})));
    until_in_force(&site, 2).await;
    for host in 0..3 {
        assert_eq!(in_force(&site, host).await["config"]["models"]["new"]["memory"], 500);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn of_patches_that_race_through_several_hosts_one_wins_each_number() {
    const ROUNDS: u64 = 8;
    const RACERS: u64 = 6;
    let site = Site::start(3, engines(1)).await;
    let mut winners: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for round in 0..ROUNDS {
        let against = round + 1;
        let racers = (0..RACERS).map(async |racer| {
            let changes = json!({"weights": {"moves": 10 + round * RACERS + racer}});
            let patch = patch(&format!("{round}-{racer}"), against, changes);
            (racer, apply(&site, racer as usize % 3, &patch).await)
        });
        for (racer, answer) in futures_util::future::join_all(racers).await {
            let outcome = answer.json();
            match answer.status {
                200 => winners.entry(outcome["number"].as_u64().unwrap()).or_default().push(racer),
                409 => {
                    assert_eq!(outcome["outcome"], "stale", "{outcome}");
                    assert_eq!(outcome["current"], against + 1);
                    assert_eq!(outcome["clashes"], json!(["/weights/moves"]));
                }
                _ => panic!("{outcome}"),
            }
        }
        let (_, root) = site.platform.peek("config/root").unwrap();
        let winner = &winners[&(against + 1)];
        assert_eq!(winner.len(), 1, "{winners:?}");
        let expected = (10 + round * RACERS + winner[0]) as f64;
        assert_eq!(root["config"]["weights"]["moves"], expected);
    }
    assert_eq!(winners.keys().copied().collect::<Vec<_>>(), (2..2 + ROUNDS).collect::<Vec<_>>());
    until_in_force(&site, 1 + ROUNDS).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_patch_whose_answer_was_lost_gets_its_first_outcome_through_any_host() {
    let site = Site::start(2, engines(1)).await;
    let request = patch("a", 1, json!({"weights": {"moves": 5}}));
    site.platform.fault(|fault| fault.lost_answers = 1);
    let first = apply(&site, 0, &request).await;
    assert_eq!(first.json(), json!({"outcome": "accepted", "number": 2}));

    let later = apply(&site, 1, &patch("b", 2, json!({"weights": {"moves": 6}}))).await;
    assert_eq!(later.json()["number"], 3);
    for host in 0..2 {
        let again = apply(&site, host, &request).await;
        assert_eq!(again.json(), json!({"outcome": "repeated", "number": 2}));
    }
    let (_, root) = site.platform.peek("config/root").unwrap();
    assert_eq!((&root["number"], &root["config"]["weights"]["moves"]), (&json!(3), &json!(6.0)));
    site.shut_down().await;
}

#[tokio::test]
async fn in_an_outage_a_patch_is_refused_and_taken_when_it_is_sent_again() {
    let site = Site::start(2, engines(1)).await;
    let request = patch("a", 1, json!({"weights": {"moves": 5}}));
    site.platform.fault(|fault| fault.down = true);
    let refused = apply(&site, 0, &request).await;
    assert_eq!((refused.status, &refused.json()["outcome"]), (503, &json!("unavailable")));
    site.platform.fault(|fault| fault.down = false);
    let accepted = apply(&site, 1, &request).await;
    assert_eq!(accepted.json(), json!({"outcome": "accepted", "number": 2}));
    until_in_force(&site, 2).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_host_never_goes_back_whatever_the_platform_shows() {
    let site = Site::start(2, engines(1)).await;
    let (_, old) = site.platform.peek("config/root").unwrap();
    apply(&site, 0, &patch("a", 1, json!({"weights": {"moves": 5}}))).await;
    apply(&site, 0, &patch("b", 2, json!({"weights": {"moves": 6}}))).await;
    until_in_force(&site, 3).await;

    let nonsense = json!({"number": 9, "color": "red"});
    for root in [old.clone(), nonsense, old.clone()] {
        let watches = site.platform.calls().watches;
        site.platform.poke("config/root", root);
        until("each host has started a new watch", async || {
            watches + 2 <= site.platform.calls().watches
        })
        .await;
        for host in 0..2 {
            assert_eq!(in_force(&site, host).await["number"], 3);
        }
    }
    let mut newer = old;
    newer["number"] = json!(4);
    site.platform.poke("config/root", newer);
    until_in_force(&site, 4).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_large_configuration_goes_by_parts() {
    let site = Site::start(3, engines(2)).await;
    let models: BTreeMap<String, Value> =
        (0..600).map(|i| (format!("small-{i:03}"), model(1))).collect();
    let answer = apply(&site, 0, &patch("many", 1, json!({"models": models}))).await;
    assert_eq!(answer.json(), json!({"outcome": "accepted", "number": 2}));
    until_in_force(&site, 2).await;
    let parts = site.platform.keys("config/part/");
    assert!(10 < parts.len(), "{} parts", parts.len());

    // A change of one model writes one part and the root. Planners write too, so the test counts
    // stored objects and not calls.
    let part_names = |root: &Value| root["parts"].as_array().unwrap().clone();
    let (version, before) = site.platform.peek("config/root").unwrap();
    let changes = json!({"models": {"small-123": {"memory": 2}}});
    apply(&site, 1, &patch("one", 2, changes)).await;
    until_in_force(&site, 3).await;
    let stored = site.platform.keys("config/part/");
    assert_eq!(stored.iter().filter(|key| !parts.contains(key)).count(), 1);
    let (next, after) = site.platform.peek("config/root").unwrap();
    assert!(version < next && after["number"] == 3);
    let (before, after) = (part_names(&before), part_names(&after));
    assert_eq!(before.len(), after.len());
    assert_eq!(after.iter().filter(|name| !before.contains(name)).count(), 1);
    for host in 0..3 {
        let config = in_force(&site, host).await["config"].clone();
        assert_eq!(config["models"]["small-123"]["memory"], 2);
        assert_eq!(config["models"].as_object().unwrap().len(), 601);
    }
    site.shut_down().await;
}

#[rstest]
#[case::too_large(json!({"models": {"big": model(80_001)}}), "short")]
#[case::no_room_beside_the_old(
    json!({"models": {"m": {"version": "2", "memory": 71_000}}}),
    "short"
)]
#[case::dangling(json!({"services": {"chat": {"customer": "nobody"}}}), "invalid")]
#[tokio::test]
async fn what_cannot_be_made_is_refused_with_what_and_where(
    #[case] changes: Value,
    #[case] outcome: &str,
) {
    let site = Site::start(1, engines(1)).await;
    let request = patch("a", 1, changes);
    for path in ["/config/check", "/config/patches"] {
        let headers = [("content-type", "application/json")];
        let operators = site.hosts()[0].operators();
        let answer = send(operators, "POST", path, &headers, &request.to_string()).await;
        assert_eq!((answer.status, &answer.json()["outcome"]), (422, &json!(outcome)));
        let text = answer.text();
        let expected =
            if outcome == "short" { "\"group\":\"lm\"" } else { "/services/chat/customer" };
        assert!(text.contains(expected), "{text}");
    }
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 1);
    site.shut_down().await;
}

#[tokio::test]
async fn a_check_writes_nothing() {
    let site = Site::start(1, engines(1)).await;
    let request = patch("a", 1, json!({"weights": {"moves": 5}})).to_string();
    let operators = site.hosts()[0].operators();
    let headers = [("content-type", "application/json")];
    let answer = send(operators, "POST", "/config/check", &headers, &request).await;
    assert_eq!(answer.json(), json!({"outcome": "accepted", "number": 2}));
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 1);
    site.shut_down().await;
}

const TOKEN: &str = "a-token-of-more-than-16-characters";

/// Writes a settings file for `cyclamenstage`; `changes` maps JSON pointers to values.
fn settings(directory: &tempfile::TempDir, changes: Value) -> std::path::PathBuf {
    let mut settings = json!({
        "host": {
            "id": "a", "zone": "mobile-hall", "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"
        },
        "platform": "127.0.0.1:1",
    });
    for (path, value) in changes.as_object().into_iter().flatten() {
        match settings.pointer_mut(path) {
            Some(field) => *field = value.clone(),
            None => settings[path.trim_start_matches('/')] = value.clone(),
        }
    }
    let file = directory.path().join("settings.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    file
}

#[rstest]
#[case::good(json!({}), &[], 0)]
#[case::two_findings(
    json!({"/host/zone": 7, "/bounds": {"head_bytes": 0}}),
    &["/host/zone: invalid type", "/bounds/head_bytes: must be positive"],
    1
)]
#[case::open_to_strangers(
    json!({"/host/operators": "10.0.0.1:1"}), &["/operators_token: missing"], 1
)]
fn check_prints_every_finding_and_serve_refuses_them(
    #[case] changes: Value,
    #[case] findings: &[&str],
    #[case] code: i32,
) {
    let directory = tempfile::tempdir().unwrap();
    let file = settings(&directory, changes);
    let run = |command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_cyclamenstage"));
        program.args([command, "--settings"]).arg(&file).output().unwrap()
    };
    let check = run("check");
    let text = String::from_utf8(check.stdout).unwrap();
    assert_eq!(check.status.code(), Some(code), "{text}");
    for finding in findings {
        assert!(text.contains(finding), "no {finding:?} in {text}");
        assert!(text.contains("settings.json:1:"), "{text}");
    }
    if code != 0 {
        let serve = run("serve");
        assert_eq!(serve.status.code(), Some(1));
        let text = String::from_utf8(serve.stderr).unwrap();
        assert!(findings.iter().all(|finding| text.contains(finding)), "{text}");
    }
}

#[tokio::test]
async fn the_operators_listener_asks_for_its_token_and_counts_refusals() {
    let directory = tempfile::tempdir().unwrap();
    let file = settings(&directory, json!({"/operators_token": TOKEN}));
    let settings = settings::read_process(&file).unwrap();
    let host = stage::start(settings).await.unwrap();
    let operators = host.context().host().operators;

    let valid = format!("Bearer {TOKEN}");
    let invalid = format!("Bearer {TOKEN}x");
    let without_scheme = TOKEN.to_string();
    let status = async |path: &str, token: Option<&str>| {
        let headers: Vec<_> = token.iter().map(|token| ("authorization", *token)).collect();
        send(operators, "GET", path, &headers, "").await.status
    };
    for token in
        [None, Some(""), Some(invalid.as_str()), Some(without_scheme.as_str()), Some("Bearer ")]
    {
        for path in ["/status", "/config", "/hosts", "/metrics"] {
            assert_eq!(status(path, token).await, 401, "{path} {token:?}");
        }
    }
    assert_eq!(status("/live", None).await, 200);
    assert_eq!(status("/config", Some(&valid)).await, 200);
    let headers = [("authorization", valid.as_str())];
    let metrics = send(operators, "GET", "/metrics", &headers, "").await.text();
    let line = metrics.lines().find(|line| line.starts_with("cyclamenstage_denied_total")).unwrap();
    assert!(line.contains("operators") && line.ends_with(" 20"), "{line}");
    host.drain().await;
}

#[rstest]
#[case::peers(|settings: &mut Process, token| settings.peers_token = Some(token), "for peers")]
#[case::operators(
    |settings: &mut Process, token| settings.operators_token = Some(token), "for operators"
)]
#[tokio::test]
async fn a_host_whose_token_no_header_carries_does_not_start(
    #[case] set: fn(&mut Process, String),
    #[case] listener: &str,
) {
    let directory = tempfile::tempdir().unwrap();
    let mut settings = settings::read_process(&settings(&directory, json!({}))).unwrap();
    set(&mut settings, format!("{TOKEN}\n"));
    let error = stage::start(settings).await.err().expect("the host does not start").to_string();
    assert!(error.contains(listener), "{error}");
}

#[tokio::test]
async fn a_host_that_an_operator_drains_ends_as_planned() {
    let mut site = Site::start(2, engines(1)).await;
    let operators = site.hosts()[1].operators();
    assert_eq!(send(operators, "POST", "/drain", &[], "").await.status, 202);
    let mut drained = site.hosts_mut().remove(1);
    assert_eq!(drained.wait_for_exit().await, Some(0));
    site.shut_down().await;
}

#[test]
fn the_samples_pass_the_check_that_the_page_shows() {
    let page =
        include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/configuration.md"));
    let lines: Vec<&str> = page.lines().collect();
    let examples: Vec<_> = lines
        .windows(2)
        .filter_map(|pair| Some((pair[0].strip_prefix("$ cyclamenstage ")?, pair[1])))
        .collect();
    assert_eq!(examples.len(), 2);
    for (arguments, output) in examples {
        let run = Command::new(env!("CARGO_BIN_EXE_cyclamenstage"))
            .args(arguments.split_whitespace())
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .output()
            .unwrap();
        assert_eq!(run.status.code(), Some(0));
        assert_eq!(String::from_utf8(run.stdout).unwrap().trim_end(), output);
    }
}
