//! Serving while the platform's object API and list are down, slow or rate limited.
//!
//! `ten_minutes_without_the_platform` is a measurement, to be run by hand:
//! `cargo test --release -p cyclamenstage --test outage -- --ignored --nocapture`

#![allow(clippy::print_stderr, reason = "output of a measurement")]

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{Builder, Chat, Ending, Site, get, until};
use rstest::rstest;
use serde_json::json;
use standin::{engine, objects};

const MODEL: &str = "welcome";

fn engine_settings(index: usize) -> engine::Settings {
    engine::Settings::new(&format!("lm-{index}")).with_model(MODEL, "1", 1000)
}

async fn site(hosts: usize) -> Site {
    let site =
        Builder::new(hosts).engine(engine_settings(0)).engine(engine_settings(1)).start().await;
    for host in site.hosts() {
        until("the host knows all other hosts", async || {
            let status = get(host.operators(), "/members").await.unwrap_or_default();
            status["hosts"].as_object().is_some_and(|peers| peers.len() + 1 == hosts)
        })
        .await;
    }
    site
}

/// Declares a changed configuration and returns its number.
fn declare_change(site: &Site) -> u64 {
    site.declare(|config| config["weights"] = json!({"attainment": 1.0, "moves": 2.0}))
}

async fn until_in_force(site: &Site, number: u64) {
    for index in 0..site.hosts().len() {
        until("the configuration is in force", async || site.in_force(index).await == number).await;
    }
}

#[rstest]
#[case::down(|fault: &mut objects::Fault| fault.down = true)]
#[case::slow(|fault: &mut objects::Fault| fault.latency = Duration::from_secs(5))]
#[case::refusing_by_rate(|fault: &mut objects::Fault| fault.rate = 1)]
#[tokio::test]
async fn every_call_is_served_and_the_change_comes_after(
    #[case] inject: impl Fn(&mut objects::Fault),
) {
    const CALLS: usize = 40;
    let site = site(4).await;
    site.platform.fault(inject);
    let number = declare_change(&site);
    for call in 0..CALLS {
        let chat = Chat::new(format!("call-{call}"), MODEL, 4);
        let ending = chat.send(site.hosts()[call % 4].callers()).await;
        assert_eq!(ending, Ending::Complete);
    }
    site.platform.fault(|fault| *fault = objects::Fault::default());
    until_in_force(&site, number).await;
    site.shut_down().await;
}

#[tokio::test]
#[ignore = "a measurement that takes ten and a half minutes"]
async fn ten_minutes_without_the_platform() {
    const HOSTS: usize = 8;
    const OUTAGE: Duration = Duration::from_secs(600);
    /// Time for which calls go on after the outage.
    const TAIL: Duration = Duration::from_secs(30);
    const CALL_INTERVAL: Duration = Duration::from_millis(250);
    let mut site = site(HOSTS).await;
    let seeds: Vec<SocketAddr> = site.hosts()[..3].iter().map(|host| host.host.peers).collect();
    site.change_settings(move |settings| settings["peers"] = json!(seeds));
    site.platform.fault(|fault| fault.down = true);
    let start = Instant::now();
    let (mut complete, mut failures, mut rates) = (0, Vec::new(), Vec::new());
    let (mut calls_before, mut sample_start) = (total_calls(&site), Instant::now());
    let (mut number, mut is_host_replaced, mut restored_at) = (0, false, None::<Instant>);
    let mut in_force = None;
    for call in 0.. {
        let elapsed = start.elapsed();
        if OUTAGE + TAIL <= elapsed {
            break;
        }
        let chat = Chat::new(format!("call-{call}"), MODEL, 4);
        match chat.send(site.hosts()[call % HOSTS].callers()).await {
            Ending::Complete => complete += 1,
            ending => failures.push((elapsed.as_secs(), ending)),
        }
        if OUTAGE / 2 <= elapsed && !is_host_replaced {
            is_host_replaced = true;
            number = declare_change(&site);
            site.kill(HOSTS - 1);
            site.restart(HOSTS - 1).await;
            site.wait_until_host_ready(HOSTS - 1).await;
            eprintln!(
                "host replaced during the outage, ready after {:?}",
                start.elapsed() - elapsed
            );
        }
        if OUTAGE <= elapsed && restored_at.is_none() {
            site.platform.fault(|fault| fault.down = false);
            restored_at = Some(Instant::now());
        }
        if let Some(at) = restored_at.filter(|_| in_force.is_none()) {
            until_in_force(&site, number).await;
            in_force = Some(at.elapsed());
        }
        if Duration::from_secs(1) <= sample_start.elapsed() {
            let now = total_calls(&site);
            let rate = (now - calls_before) as f64 / sample_start.elapsed().as_secs_f64();
            rates.push((restored_at.is_some(), rate));
            (calls_before, sample_start) = (now, Instant::now());
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let max_rate = |is_after: bool| {
        let rates = rates.iter().filter(|(after, _)| *after == is_after);
        rates.map(|(_, rate)| *rate).fold(0.0, f64::max)
    };
    let mean = rates.iter().filter(|(after, _)| !after).map(|(_, rate)| rate).sum::<f64>()
        / rates.iter().filter(|(after, _)| !after).count() as f64;
    eprintln!("complete answers {complete}, failures {failures:?}");
    eprintln!(
        "calls per second, all hosts, during the outage: mean {mean:.1}, max {:.1}",
        max_rate(false)
    );
    eprintln!("calls per second, all hosts, after the outage: max {:.1}", max_rate(true));
    eprintln!("change in force on all hosts after {in_force:?}");
    assert_eq!(failures, []);
    site.shut_down().await;
}

/// Number of calls of all kinds that the platform received.
fn total_calls(site: &Site) -> u64 {
    let calls = site.platform.calls();
    calls.reads + calls.writes + calls.watches + calls.lists
}
