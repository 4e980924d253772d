//! Tests of the commands that read or change the declared configuration: check, diff, apply, get.

mod common;

use common::{Site, config, ctl, text, until};
use rstest::rstest;
use serde_json::{Value, json};
use standin::fault::{Interception, Proxy};
use types::host::ListState;

const SAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../settings");

/// The test configuration with this weight of moves.
fn moves(weight: u64) -> Value {
    let mut config = config();
    config["weights"] = json!({"attainment": 1, "moves": weight});
    config
}

#[rstest]
#[case::gulf_south("gulf-south", "3 customers, 14 models, 40 adapters, 7 services")]
#[case::co_antioquia("co-antioquia", "2 customers, 20 models, 63 adapters, 7 services")]
#[tokio::test]
async fn check_counts_what_good_files_declare(#[case] deployment: &str, #[case] counts: &str) {
    let run = ctl(&["check", &format!("{SAMPLES}/{deployment}/config")]).await;
    assert_eq!((run.code, run.out), (0, format!("no findings: {counts}\n")));
}

#[tokio::test]
async fn check_prints_every_finding_of_every_file() {
    let files = tempfile::tempdir().unwrap();
    std::fs::write(files.path().join("a.json"), "{\"customers\": {\"c\": {\"share\": 0}}}")
        .unwrap();
    std::fs::write(files.path().join("b.json"), "{\n \"models\": 3,\n \"x\": 1}").unwrap();
    let run = ctl(&["check", &text(files.path())]).await;
    assert_eq!(run.code, 5, "{run:?}");
    for line in
        ["a.json:1:", "/customers/c/share: must be positive", "b.json:2:12: /models: ", "/x: "]
    {
        assert!(run.out.contains(line), "no {line:?} in {}", run.out);
    }
    let json = ctl(&["check", "--json", &text(files.path())]).await;
    assert_eq!((json.code, json.json()["findings"].as_array().unwrap().len()), (5, 3));
}

#[tokio::test]
async fn what_get_writes_applies_as_a_no_op() {
    let site = Site::start(1).await;
    let file = text(&site.files.path().join("whole.json"));
    let directory = text(&site.files.path().join("parts"));
    std::fs::create_dir(&directory).unwrap();
    for path in [&file, &directory] {
        assert_eq!(site.ctl(&["get", "--to", path]).await.code, 0);
        let diff = site.ctl(&["diff", path]).await;
        assert_eq!((diff.code, diff.out.as_str()), (0, "no difference to number 1\n"));
        let apply = site.ctl(&["apply", path, "--wait"]).await;
        assert_eq!(apply.code, 0);
        assert!(apply.out.starts_with("nothing changes at number 1\n"), "{}", apply.out);
    }
    let names = ["customers.json", "models.json", "services.json", "weights.json"];
    assert!(names.iter().all(|name| std::path::Path::new(&directory).join(name).exists()));
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 1);
    site.stop().await;
}

#[tokio::test]
async fn diff_shows_lines_and_the_verdict_and_changes_nothing() {
    let site = Site::start(1).await;
    let file = site.write("a.json", &moves(7), None);
    let run = site.ctl(&["diff", &file]).await;
    assert_eq!(run.code, 0, "{run:?}");
    for line in
        ["--- number 1", "-    \"moves\": 1.0", "+    \"moves\": 7.0", "accepted as number 2"]
    {
        assert!(run.out.contains(line), "no {line:?} in {}", run.out);
    }
    let json = site.json(&["diff", &file]).await;
    assert_eq!(json["changes"], json!({"weights": {"moves": 7.0}}));

    let mut large = config();
    large["models"]["carta"]["memory"] = json!(90_000);
    let file = site.write("large.json", &large, None);
    let run = site.ctl(&["diff", &file]).await;
    assert_eq!(run.code, 5);
    assert!(
        run.out.contains("refused: memory is short\n  model carta needs 90100 MiB"),
        "{}",
        run.out
    );
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 1);
    site.stop().await;
}

#[tokio::test]
async fn apply_waits_until_every_live_host_has_the_number() {
    let site = Site::start(3).await;
    let file = site.write("a.json", &moves(7), Some(1));
    let run = site.ctl(&["apply", &file, "--wait"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.out, "accepted as number 2\nin force on every live host\n");
    assert!(site.hosts.iter().all(|host| host.context().config().number == 2));
    // The number stored beside the file was updated, so a further change is based on it.
    std::fs::write(&file, moves(8).to_string()).unwrap();
    assert_eq!(site.ctl(&["apply", &file]).await.out, "accepted as number 3\n");
    site.stop().await;
}

#[tokio::test]
async fn apply_names_the_live_hosts_that_lack_the_number() {
    let site = Site::start(2).await;
    let mut list = site.list();
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for (name, state) in [("silent", ListState::Live), ("left", ListState::Leaving)] {
        let mut entry = list.hosts[0].clone();
        entry.host.id = name.into();
        entry.host.operators = unresponsive;
        entry.state = state;
        list.hosts.push(entry);
    }
    site.platform.set_list(list);
    for host in &site.hosts {
        until("the list is read", async || host.context().fleet.list().hosts.len() == 4).await;
    }
    let file = site.write("a.json", &moves(7), Some(1));
    let arguments = ["apply", &file, "--wait", "--within", "1", "--json"];
    let run = site.ctl(&arguments).await;
    assert_eq!(run.code, 4, "{run:?}");
    let json = run.json();
    assert_eq!((&json["outcome"], &json["number"]), (&json!("accepted"), &json!(2)));
    let lacking = json["lacking"].as_array().unwrap();
    assert_eq!(lacking.len(), 1, "{lacking:?}");
    assert!(lacking[0].as_str().unwrap().starts_with("silent: no answer from 127.0.0.1:"));
    site.stop().await;
}

#[tokio::test]
async fn files_based_on_a_past_number_are_refused_with_what_clashes() {
    let site = Site::start(1).await;
    let mine = site.write("mine.json", &moves(7), Some(1));
    let theirs = site.write("theirs.json", &moves(8), Some(1));
    assert_eq!(site.ctl(&["apply", &theirs]).await.code, 0);

    let run = site.ctl(&["apply", &mine]).await;
    assert_eq!(run.code, 3, "{run:?}");
    let text = "based on number 1: refused: the number is 2 by now, and others changed\n  /weights/moves\n";
    assert_eq!(run.out, text);
    // A file that equals the configuration at number 1, its own base, is refused as well: it would
    // undo the change of others.
    let old = site.write("old.json", &config(), Some(1));
    let run = site.ctl(&["apply", &old, "--json"]).await;
    assert_eq!((run.code, &run.json()["clashes"]), (3, &json!(["/weights/moves"])));

    let forced = site.ctl(&["apply", &mine, "--against", "current"]).await;
    assert_eq!((forced.code, forced.out.as_str()), (0, "accepted as number 3\n"));
    site.stop().await;
}

#[tokio::test]
async fn files_without_a_number_are_not_applied() {
    let site = Site::start(1).await;
    let file = site.write("a.json", &moves(7), None);
    let run = site.ctl(&["apply", &file]).await;
    assert_eq!(run.code, 2);
    assert!(run.err.contains("the number that the files are based on is unknown"), "{}", run.err);
    assert_eq!(site.ctl(&["apply", &file, "--against", "1"]).await.code, 0);
    site.stop().await;
}

#[tokio::test]
async fn a_patch_whose_answer_was_lost_is_sent_again_and_gets_its_first_outcome() {
    let site = Site::start(1).await;
    let proxy = Proxy::start(site.operators(0)).await.unwrap();
    let interceptor = proxy.intercept("POST /config/patches", Interception::LoseAnswer);
    let file = site.write("a.json", &moves(7), Some(1));
    let run = site.ctl_at(proxy.address(), &["apply", &file]).await;
    assert!(interceptor.has_triggered());
    assert_eq!((run.code, run.out.as_str()), (0, "accepted before as number 2\n"), "{run:?}");
    let (_, root) = site.platform.peek("config/root").unwrap();
    assert_eq!((&root["number"], root["patches"].as_array().unwrap().len()), (&json!(2), 1));
    site.stop().await;
}

#[tokio::test]
async fn an_outage_of_the_object_api_is_waited_out() {
    let site = Site::start(1).await;
    let proxy = Proxy::start(site.operators(0)).await.unwrap();
    let interceptor = proxy.intercept("POST /config/patches", Interception::HoldAnswer);
    let file = site.write("a.json", &moves(7), Some(1));
    site.platform.fault(|fault| fault.down = true);
    let arguments = ["apply", file.as_str(), "--wait"];
    let (run, ()) = tokio::join!(site.ctl_at(proxy.address(), &arguments), async {
        // The host has responded that the object API is unavailable; the proxy holds the response.
        interceptor.triggered().await;
        site.platform.fault(|fault| fault.down = false);
        interceptor.release();
    });
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 2);
    site.stop().await;
}

#[tokio::test]
async fn applies_that_race_give_each_number_to_one_of_them() {
    const WRITERS: u64 = 5;
    let site = Site::start(2).await;
    let writers = (0..WRITERS).map(async |writer| {
        let file = site.write(&format!("{writer}.json"), &moves(100 + writer), Some(1));
        let host = site.operators(writer as usize % 2);
        site.ctl_at(host, &["apply", &file]).await.code
    });
    let mut codes = futures_util::future::join_all(writers).await;
    codes.sort();
    assert_eq!(codes, [0, 3, 3, 3, 3]);
    assert_eq!(site.platform.peek("config/root").unwrap().1["number"], 2);
    site.stop().await;
}
