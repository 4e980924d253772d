//! Two failures at once.

use nix::sys::signal::Signal;
use standin::{
    engine::Settings,
    fault::{Direction, Fault},
};

use crate::common::{Ask, Builder, Crowd, Site, until};

const MODEL: &str = "portal";

async fn site() -> Site {
    let engine = |id: &str| Settings::new(id).with_model(MODEL, "v1", 900);
    let engines = [engine("lm-1"), engine("lm-2"), engine("lm-3")];
    let slow_balancer = |settings: &mut serde_json::Value| {
        settings["drain"]["balancer_ms"] = 1_500.into();
    };
    let builder = Builder::new(3).settings(slow_balancer);
    engines.into_iter().fold(builder, Builder::engine).linked().start().await
}

fn crowd(site: &Site, name: &'static str) -> Crowd {
    let ask = Ask { name, models: vec![MODEL.into()], tokens: 60 };
    Crowd::start(9, &site.entrances(), ask)
}

async fn until_under_way(site: &Site) {
    until("each engine runs requests", async || site.engines().iter().all(|e| 0 < e.in_flight()))
        .await;
}

async fn until_more_whole(crowd: &Crowd) {
    let whole = crowd.endings().whole();
    until("calls go on", async || whole + 18 <= crowd.endings().whole()).await;
}

#[tokio::test]
async fn engine_dies_during_an_outage_of_the_platform() {
    let site = site().await;
    let crowd = crowd(&site, "outage");
    until_under_way(&site).await;

    site.platform.fault(|fault| fault.down = true);
    until_more_whole(&crowd).await;
    site.engines()[0].crash();
    until_more_whole(&crowd).await;

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.platform.fault(|fault| fault.down = false);
    site.end().await;
}

#[tokio::test]
async fn two_engines_die_one_after_the_other() {
    let site = site().await;
    let crowd = crowd(&site, "twice");
    until_under_way(&site).await;

    site.engines()[0].crash();
    site.engines()[1].crash();
    until_more_whole(&crowd).await;

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.end().await;
}

#[tokio::test]
async fn planned_stop_while_streams_are_cut() {
    let mut site = site().await;
    let crowd = crowd(&site, "stop-cut");
    until_under_way(&site).await;

    site.links().server("lm-1").set(Direction::ToClient, Fault::ResetAfter(700));
    site.hosts()[0].signal(Signal::SIGTERM);
    let code = site.hosts_mut()[0].ended().await;
    until_more_whole(&crowd).await;

    let endings = crowd.stop().await;
    assert_eq!(code, Some(0));
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.links().server("lm-1").heal();
    site.restart(0).await;
    site.end().await;
}

/// What a killed host had in flight breaks off; its callers see that, and nothing worse.
#[tokio::test]
async fn host_dies_while_an_engine_dies() {
    let mut site = site().await;
    let crowd = crowd(&site, "host-engine");
    until_under_way(&site).await;

    site.kill(0);
    site.engines()[0].crash();
    until_more_whole(&crowd).await;

    let endings = crowd.stop().await;
    let others = endings.others();
    let is_clean = |ending: &crate::common::Ending| *ending == crate::common::Ending::Cut;
    assert!(others.iter().all(|(_, ending)| is_clean(ending)), "{others:?}");
    assert!(others.len() <= 9, "more calls broke off than the dead host can have had: {others:?}");
    site.restart(0).await;
    site.end().await;
}

#[tokio::test]
async fn host_is_frozen_while_the_platform_is_down_and_goes_on_afterwards() {
    let site = site().await;
    let crowd = crowd(&site, "frozen");
    until_under_way(&site).await;

    site.platform.fault(|fault| fault.down = true);
    site.hosts()[1].signal(Signal::SIGSTOP);
    until_more_whole(&crowd).await;
    site.hosts()[1].signal(Signal::SIGCONT);
    until_more_whole(&crowd).await;

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.platform.fault(|fault| fault.down = false);
    site.end().await;
}
