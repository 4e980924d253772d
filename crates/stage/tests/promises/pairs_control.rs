//! Two failures at the same time that affect the configuration or the connections between hosts.

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin::{
    engine::Settings,
    fault::{Fault, Interception},
};

use crate::common::{Builder, LoadGenerator, Site, Workload, send, until};

const MODEL: &str = "portal";
const PUT_ROOT: &str = "PUT /objects/config/root";

async fn site() -> Site {
    let engine = |id: &str| Settings::new(id).with_model(MODEL, "v1", 900);
    let slow_balancer = |settings: &mut Value| {
        settings["drain"]["balancer_ms"] = 1_500.into();
    };
    let builder = Builder::new(3).settings(slow_balancer);
    builder.engine(engine("lm-1")).engine(engine("lm-2")).with_proxies().start().await
}

/// Sends a patch against configuration 1 through a host; returns status and outcome.
async fn patch(site: &Site, host: usize, id: &str) -> (u16, Value) {
    let operators = site.hosts()[host].operators();
    let changes = json!({"customers": {id: {}}});
    let body = json!({"id": id, "against": 1, "changes": changes}).to_string();
    let headers = [("content-type", "application/json")];
    let answer = send(operators, "POST", "/config/patches", &headers, &body).await;
    (answer.status, answer.json())
}

async fn until_in_force(site: &Site, number: u64) {
    for index in 0..site.hosts().len() {
        until("the configuration is in force", async || site.in_force(index).await == number).await;
    }
}

/// Two operators send patches against the same configuration number, and the platform's answer to
/// the first write is lost.
#[tokio::test]
async fn patches_race_while_the_answer_to_a_write_is_lost() {
    let site = site().await;
    let interceptor = site.links().platform(0).intercept(PUT_ROOT, Interception::LoseAnswer);

    let (first, second) = tokio::join!(patch(&site, 0, "first"), patch(&site, 1, "second"));

    let winners = [&first, &second].iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(winners, 1, "expected exactly one patch to be accepted: {first:?}, {second:?}");
    until_in_force(&site, 2).await;
    let (_, root) = site.platform.peek("config/root").expect("a configuration is stored");
    assert_eq!(root["number"], 2);
    let repeated = patch(&site, 2, if first.0 == 200 { "first" } else { "second" }).await;
    assert_eq!(
        repeated.0, 200,
        "the accepted patch was refused when it was sent again: {repeated:?}"
    );
    until_in_force(&site, 2).await;
    interceptor.release();
    site.shut_down().await;
}

/// A host dies during the write of a patch, and the operator sends the patch through another host.
#[tokio::test]
async fn host_dies_while_the_answer_to_its_write_is_held() {
    let mut site = site().await;
    let interceptor = site.links().platform(0).intercept(PUT_ROOT, Interception::HoldAnswer);
    let operators = site.hosts()[0].operators();
    let body = json!({"id": "p", "against": 1, "changes": {"customers": {"p": {}}}}).to_string();
    let request = tokio::spawn(async move {
        let headers = [("content-type", "application/json")];
        crate::common::try_send(operators, "POST", "/config/patches", &headers, &body).await
    });
    interceptor.triggered().await;
    site.kill(0);
    assert!(request.await.unwrap().is_none(), "the killed host answered");

    let (status, outcome) = patch(&site, 1, "p").await;

    assert_eq!((status, &outcome["number"]), (200, &json!(2)), "{outcome}");
    interceptor.release();
    site.restart(0).await;
    until_in_force(&site, 2).await;
    site.shut_down().await;
}

#[tokio::test]
async fn planned_stop_while_hosts_are_cut_off_from_each_other() {
    let mut site = site().await;
    let workload = Workload { name: "apart", models: vec![MODEL.into()], tokens: 60 };
    let generator = LoadGenerator::start(9, &site.host_addresses(), workload);
    until("calls complete before the stop", async || 9 <= generator.endings().complete_count())
        .await;

    (0..3).for_each(|index| site.links().peers(index).set_both(Fault::Hold));
    site.hosts()[2].signal(Signal::SIGTERM);
    let code = site.hosts_mut()[2].wait_for_exit().await;
    let complete = generator.endings().complete_count();
    until("more calls complete after the stop", async || {
        complete + 18 <= generator.endings().complete_count()
    })
    .await;

    let endings = generator.stop().await;
    assert_eq!(code, Some(0));
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    (0..3).for_each(|index| site.links().peers(index).heal());
    site.restart(2).await;
    site.shut_down().await;
}
