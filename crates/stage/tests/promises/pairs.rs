//! Complete answers during two failures at the same time.

use nix::sys::signal::Signal;
use standin::{
    engine::Settings,
    fault::{Direction, Fault},
};

use crate::common::{Builder, LoadGenerator, Site, Workload, until};

const MODEL: &str = "portal";

async fn site() -> Site {
    let engine = |id: &str| Settings::new(id).with_model(MODEL, "v1", 900);
    let engines = [engine("lm-1"), engine("lm-2"), engine("lm-3")];
    let slow_balancer = |settings: &mut serde_json::Value| {
        settings["drain"]["balancer_ms"] = 1_500.into();
    };
    let builder = Builder::new(3).settings(slow_balancer);
    engines.into_iter().fold(builder, Builder::engine).with_proxies().start().await
}

fn generator(site: &Site, name: &'static str) -> LoadGenerator {
    let workload = Workload { name, models: vec![MODEL.into()], tokens: 60 };
    LoadGenerator::start(9, &site.host_addresses(), workload)
}

async fn until_engines_busy(site: &Site) {
    until("each engine runs requests", async || site.engines().iter().all(|e| 0 < e.in_flight()))
        .await;
}

async fn until_more_complete(generator: &LoadGenerator) {
    let complete = generator.endings().complete_count();
    until("more calls complete", async || complete + 18 <= generator.endings().complete_count())
        .await;
}

#[tokio::test]
async fn engine_dies_during_an_outage_of_the_platform() {
    let site = site().await;
    let generator = generator(&site, "outage");
    until_engines_busy(&site).await;

    site.platform.fault(|fault| fault.down = true);
    until_more_complete(&generator).await;
    site.engines()[0].crash();
    until_more_complete(&generator).await;

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.platform.fault(|fault| fault.down = false);
    site.shut_down().await;
}

#[tokio::test]
async fn two_engines_die_one_after_the_other() {
    let site = site().await;
    let generator = generator(&site, "twice");
    until_engines_busy(&site).await;

    site.engines()[0].crash();
    site.engines()[1].crash();
    until_more_complete(&generator).await;

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.shut_down().await;
}

#[tokio::test]
async fn planned_stop_while_streams_are_cut() {
    let mut site = site().await;
    let generator = generator(&site, "stop-cut");
    until_engines_busy(&site).await;

    site.links().server("lm-1").set(Direction::ToClient, Fault::ResetAfter(700));
    site.hosts()[0].signal(Signal::SIGTERM);
    let code = site.hosts_mut()[0].wait_for_exit().await;
    until_more_complete(&generator).await;

    let endings = generator.stop().await;
    assert_eq!(code, Some(0));
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.links().server("lm-1").heal();
    site.restart(0).await;
    site.shut_down().await;
}

/// Calls in flight on the killed host are disconnected, and no call fails in any other way.
#[tokio::test]
async fn host_dies_while_an_engine_dies() {
    let mut site = site().await;
    let generator = generator(&site, "host-engine");
    until_engines_busy(&site).await;

    site.kill(0);
    site.engines()[0].crash();
    until_more_complete(&generator).await;

    let endings = generator.stop().await;
    let failures = endings.failures();
    let is_disconnected =
        |ending: &crate::common::Ending| *ending == crate::common::Ending::Disconnected;
    assert!(failures.iter().all(|(_, ending)| is_disconnected(ending)), "{failures:?}");
    assert!(
        failures.len() <= 9,
        "more calls were disconnected than the killed host can have had: {failures:?}"
    );
    site.restart(0).await;
    site.shut_down().await;
}

#[tokio::test]
async fn host_is_frozen_while_the_platform_is_down_and_goes_on_afterwards() {
    let site = site().await;
    let generator = generator(&site, "frozen");
    until_engines_busy(&site).await;

    site.platform.fault(|fault| fault.down = true);
    site.hosts()[1].signal(Signal::SIGSTOP);
    until_more_complete(&generator).await;
    site.hosts()[1].signal(Signal::SIGCONT);
    until_more_complete(&generator).await;

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.platform.fault(|fault| fault.down = false);
    site.shut_down().await;
}
