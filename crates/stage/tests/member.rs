//! Membership of real host processes: how configurations spread, what works during an outage of the
//! platform, and how hosts and servers that die, leave or pause are treated.

mod common;

use std::net::SocketAddr;

use common::{Builder, Chat, Ending, LoadGenerator, Site, Workload, get, until};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin::{engine, fault};
use types::host::ListState;

const MODEL: &str = "welcome";
const ZONES: usize = 4;

fn engine_settings(index: usize) -> engine::Settings {
    engine::Settings::new(&format!("lm-{index}")).with_model(MODEL, "1", 1000)
}

fn workload(name: &'static str) -> Workload {
    Workload { name, models: vec![MODEL.into()], tokens: 8 }
}

/// Declares a changed configuration and returns its number.
fn declare_change(site: &Site) -> u64 {
    site.declare(|config| config["weights"] = json!({"attainment": 1.0, "moves": 2.0}))
}

async fn members(site: &Site, index: usize) -> Value {
    get(site.hosts()[index].operators(), "/members").await.unwrap_or_default()
}

async fn liveness(site: &Site, observer: usize, subject: usize) -> Value {
    members(site, observer).await["hosts"][format!("host-{subject}")].clone()
}

async fn until_liveness(site: &Site, subject: usize, expected: &str) {
    for observer in (0..site.hosts().len()).filter(|observer| *observer != subject) {
        until(&format!("host {observer} reports host {subject} as {expected}"), async || {
            liveness(site, observer, subject).await == expected
        })
        .await;
    }
}

async fn until_all_live(site: &Site) {
    for subject in 0..site.hosts().len() {
        until_liveness(site, subject, "live").await;
    }
}

async fn watcher_count(site: &Site) -> usize {
    let mut watchers = 0;
    for index in 0..site.hosts().len() {
        watchers += usize::from(members(site, index).await["watching"] == true);
    }
    watchers
}

async fn until_in_force(site: &Site, number: u64) {
    for index in 0..site.hosts().len() {
        until(&format!("configuration {number} is in force on host {index}"), async || {
            site.in_force(index).await == number
        })
        .await;
    }
}

#[tokio::test]
async fn a_configuration_reaches_every_host_though_few_watch() {
    let site = Builder::new(6).engine(engine_settings(0)).start().await;
    until_all_live(&site).await;
    until("one host per zone watches the platform", async || watcher_count(&site).await == ZONES)
        .await;
    for _ in 0..10 {
        let number = declare_change(&site);
        until_in_force(&site, number).await;
    }
    assert_eq!(watcher_count(&site).await, ZONES);
    site.shut_down().await;
}

#[tokio::test]
async fn others_watch_when_every_watcher_is_killed() {
    let mut site = Builder::new(6).engine(engine_settings(0)).start().await;
    until_all_live(&site).await;
    until("one host per zone watches the platform", async || watcher_count(&site).await == ZONES)
        .await;
    // Reads all watchers before the first kill, since another host then takes over its watch.
    let mut watching = Vec::new();
    for index in 0..6 {
        watching.push(members(&site, index).await["watching"] == true);
    }
    let (killed, remaining): (Vec<usize>, Vec<usize>) = (0..6).partition(|index| watching[*index]);
    for index in killed {
        site.kill(index);
    }
    let number = declare_change(&site);
    for index in &remaining {
        until("the configuration is in force", async || site.in_force(*index).await == number)
            .await;
    }
    assert_eq!(remaining.len(), 2);
}

#[tokio::test]
async fn a_host_that_starts_while_the_platform_is_down_serves_by_what_its_peers_have() {
    let mut site =
        Builder::new(3).engine(engine_settings(0)).engine(engine_settings(1)).start().await;
    until_all_live(&site).await;
    let number = declare_change(&site);
    until_in_force(&site, number).await;
    site.platform.fault(|fault| fault.down = true);
    site.kill(2);
    let seeds: Vec<SocketAddr> = site.hosts()[..2].iter().map(|host| host.host.peers).collect();
    site.change_settings(move |settings| settings["peers"] = json!(seeds));
    site.restart(2).await;
    site.wait_until_host_ready(2).await;
    assert_eq!(site.in_force(2).await, number);
    let ending = Chat::new("after", MODEL, 6).send(site.hosts()[2].callers()).await;
    assert_eq!(ending, Ending::Complete);
}

#[tokio::test]
async fn serving_goes_on_in_an_outage_of_the_platform_and_a_change_waits_for_its_end() {
    let site = Builder::new(4).engine(engine_settings(0)).engine(engine_settings(1)).start().await;
    until_all_live(&site).await;
    site.platform.fault(|fault| fault.down = true);
    let generator = LoadGenerator::start(8, &site.host_addresses(), workload("outage"));
    let before = site.platform.calls();
    let number = declare_change(&site);
    let enough = 200;
    until("enough calls have completed", async || enough <= generator.endings().complete_count())
        .await;
    for index in 0..4 {
        assert!(
            site.in_force(index).await < number,
            "a change came into force while the platform was down"
        );
    }
    let refused = site.platform.calls().refused - before.refused;
    assert!(0 < refused, "no host called the platform");
    site.platform.fault(|fault| fault.down = false);
    until_in_force(&site, number).await;
    assert_eq!(generator.stop().await.failures(), []);
    site.shut_down().await;
}

#[tokio::test]
async fn each_host_in_turn_is_killed_under_load_and_only_its_own_calls_suffer() {
    let mut site =
        Builder::new(4).engine(engine_settings(0)).engine(engine_settings(1)).start().await;
    until_all_live(&site).await;
    for index in 0..4 {
        let others: Vec<_> = site
            .host_addresses()
            .into_iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, addresses)| addresses)
            .collect();
        let generator = LoadGenerator::start(6, &others, workload("killed"));
        let until_complete = async |count: usize| {
            until("enough calls have completed", async || {
                count <= generator.endings().complete_count()
            })
            .await;
        };
        until_complete(20).await;
        site.kill(index);
        until_liveness(&site, index, "gone").await;
        let complete = generator.endings().complete_count();
        until_complete(complete + 20).await;
        site.restart(index).await;
        site.wait_until_host_ready(index).await;
        until_all_live(&site).await;
        assert_eq!(
            generator.stop().await.failures(),
            [],
            "calls to other hosts failed after host {index} was killed"
        );
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_host_that_was_paused_comes_back_with_the_newest_number() {
    let site = Builder::new(4).engine(engine_settings(0)).start().await;
    until_all_live(&site).await;
    site.hosts()[1].signal(Signal::SIGSTOP);
    until_liveness(&site, 1, "gone").await;
    let number = declare_change(&site);
    for index in [0, 2, 3] {
        until("the configuration is in force", async || site.in_force(index).await == number).await;
    }
    site.hosts()[1].signal(Signal::SIGCONT);
    until_in_force(&site, number).await;
    until_all_live(&site).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_host_that_drains_is_leaving_for_all_though_the_list_calls_it_live() {
    let mut site = Builder::new(3)
        .engine(engine_settings(0))
        .settings(|settings| settings["drain"]["balancer_ms"] = json!(3000))
        .start()
        .await;
    until_all_live(&site).await;
    site.hosts()[0].signal(Signal::SIGTERM);
    until_liveness(&site, 0, "leaving").await;
    assert_eq!(site.hosts_mut()[0].wait_for_exit().await, Some(0));
}

#[tokio::test]
async fn a_host_that_the_list_calls_leaving_is_leaving_for_all() {
    let mut site = Builder::new(3).engine(engine_settings(0)).start().await;
    until_all_live(&site).await;
    site.set_list_state(1, ListState::Leaving);
    until_liveness(&site, 1, "leaving").await;
    site.set_list_state(1, ListState::Live);
    until_liveness(&site, 1, "live").await;
    site.shut_down().await;
}

#[tokio::test]
async fn an_empty_list_leaves_hosts_and_servers_in_place() {
    let site = Builder::new(3).engine(engine_settings(0)).start().await;
    until_all_live(&site).await;
    let lists = site.platform.calls().lists;
    site.platform.set_list(Default::default());
    until("each host has read the empty list", async || lists + 12 <= site.platform.calls().lists)
        .await;
    for index in 0..3 {
        let status = get(site.hosts()[index].operators(), "/status").await.unwrap_or_default();
        assert_eq!(status["servers"], 1);
        let chat = Chat::new(format!("empty-{index}"), MODEL, 4);
        assert_eq!(chat.send(site.hosts()[index].callers()).await, Ending::Complete);
    }
    until_all_live(&site).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_host_cut_off_from_its_peers_goes_on_serving_and_joins_again() {
    let site = Builder::new(3).engine(engine_settings(0)).with_proxies().start().await;
    until_all_live(&site).await;
    site.links().peers(0).set_new_connections(fault::NewConnections::Reset);
    site.links().peers(0).reset_connections();
    let number = declare_change(&site);
    until_in_force(&site, number).await;
    let chat = Chat::new("cut", MODEL, 4);
    assert_eq!(chat.send(site.hosts()[0].callers()).await, Ending::Complete);
    site.links().peers(0).set_new_connections(fault::NewConnections::Accept);
    until_all_live(&site).await;
    site.shut_down().await;
}
