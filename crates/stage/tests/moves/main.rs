//! Tests that accelerator memory is never reserved twice.
//!
//! Host processes run with lost or late orders and answers, with planners that are killed, paused
//! or race each other, with a failing object API and with engines that restart. The stand-in engine
//! tracks its actual memory and counts each overcommit.

mod site;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Uri};
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rstest::rstest;
use serde_json::Value;
use standin::{engine, fault::Interception, weights};

use crate::site::{CAPACITY, LINGER, MODEL_MEMORY, ORDER_DELAY, Site, engine, until};

const LEASE_MS: u64 = 600;
const PUT_LEDGER: &str = "PUT /objects/ledger/lm-0";
const POST_ORDER: &str = "POST /orders";

/// Fault that is injected after each declaration while models replace each other in memory.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    OrdersLost,
    OrdersLate,
    AcksLost,
    PlatformDown,
    PlatformAnswersLost,
    EngineRestarts,
    ReportsLate,
}

impl Trouble {
    fn settings(self, fenced: bool) -> engine::Settings {
        let settings = engine(0, fenced);
        match self {
            Trouble::ReportsLate => {
                engine::Settings { report_lag: Duration::from_millis(700), ..settings }
            }
            Trouble::EngineRestarts => {
                let weights = weights::Store::new(1_000.0, 64, Duration::from_millis(150));
                engine::Settings { weights, ..settings }
            }
            Trouble::OrdersLost
            | Trouble::OrdersLate
            | Trouble::AcksLost
            | Trouble::PlatformDown
            | Trouble::PlatformAnswersLost => settings,
        }
    }

    async fn inject(self, site: &Site) {
        let engine = &site.engines[0];
        match self {
            Trouble::OrdersLost => engine.fault(|fault| fault.lost_orders = 1),
            Trouble::OrdersLate => engine.fault(|fault| {
                fault.late_orders = 1;
                fault.lateness = ORDER_DELAY;
            }),
            Trouble::AcksLost => engine.fault(|fault| fault.lost_acks = 2),
            Trouble::PlatformDown => {
                tokio::time::sleep(Duration::from_millis(60)).await;
                site.platform.fault(|fault| fault.down = true);
                tokio::time::sleep(Duration::from_millis(900)).await;
                site.platform.fault(|fault| fault.down = false);
            }
            Trouble::PlatformAnswersLost => site.platform.fault(|fault| fault.lost_answers = 3),
            Trouble::EngineRestarts => {
                until("the engine loads a model", async || !engine.residents().is_empty()).await;
                engine.crash();
                engine.restart().await.expect("the engine restarts on the same port");
            }
            Trouble::ReportsLate => {}
        }
    }
}

#[rstest]
#[tokio::test]
async fn models_that_do_not_fit_together_take_turns(
    #[values(
        Trouble::OrdersLost,
        Trouble::OrdersLate,
        Trouble::AcksLost,
        Trouble::PlatformDown,
        Trouble::PlatformAnswersLost,
        Trouble::EngineRestarts,
        Trouble::ReportsLate
    )]
    trouble: Trouble,
    #[values(true, false)] fenced: bool,
) {
    let mut site = Site::start(2, vec![trouble.settings(fenced)], LEASE_MS).await;
    for model in ["a", "b", "a"] {
        site.declare(&[model]);
        trouble.inject(&site).await;
        site.wait_until_loaded(model).await;
    }
    site.check_no_overcommit().await;
}

/// A load order is still in flight when another model is declared in place of the one it loads.
#[rstest]
#[tokio::test]
async fn late_load_finds_its_memory_still_reserved(#[values(true, false)] fenced: bool) {
    let mut site = Site::start(2, vec![engine(0, fenced)], LEASE_MS).await;
    site.engines[0].fault(|fault| {
        fault.late_orders = 1;
        fault.lateness = ORDER_DELAY;
    });
    site.declare(&["a"]);
    until("the load is reserved", async || !open_orders(&site).is_empty()).await;
    site.declare(&["b"]);
    site.wait_until_loaded("b").await;
    site.check_no_overcommit().await;
}

#[rstest]
#[tokio::test]
async fn planner_that_dies_before_its_order_leaves_memory_covered_until_it_is_gone(
    #[values(true, false)] fenced: bool,
) {
    let mut site = Site::start(2, vec![engine(0, fenced)], LEASE_MS).await;
    let planner = site.wait_for_planner().await;
    let interceptor = site.to_platform[planner].intercept(PUT_LEDGER, Interception::HoldAnswer);
    site.declare(&["a"]);
    interceptor.triggered().await;
    assert_eq!(
        open_orders(&site).len(),
        1,
        "expected one open order while the answer to the write of the ledger is held back"
    );
    site.hosts[planner].kill();
    interceptor.release();
    site.declare(&["b"]);
    site.remove_from_list(planner);
    site.wait_until_loaded("b").await;
    site.check_no_overcommit().await;
}

#[rstest]
#[tokio::test]
async fn planner_that_dies_after_its_order_is_settled_for_by_the_next(
    #[values(true, false)] fenced: bool,
    #[values(Interception::HoldAnswer, Interception::HoldRequest)] strike: Interception,
) {
    let mut site = Site::start(2, vec![engine(0, fenced)], LEASE_MS).await;
    let planner = site.wait_for_planner().await;
    let interceptor = site.to_engine[0].intercept(POST_ORDER, strike);
    site.declare(&["a"]);
    interceptor.triggered().await;
    site.hosts[planner].kill();
    site.declare(&["b"]);
    site.restart(planner);
    tokio::time::sleep(ORDER_DELAY).await;
    interceptor.release();
    site.wait_until_loaded("b").await;
    site.check_no_overcommit().await;
}

#[rstest]
#[tokio::test]
async fn paused_planner_resumes_with_an_order_in_its_hand(#[values(true, false)] fenced: bool) {
    let mut site = Site::start(2, vec![engine(0, fenced)], LEASE_MS).await;
    let planner = site.wait_for_planner().await;
    let interceptor = site.to_platform[planner].intercept(PUT_LEDGER, Interception::HoldAnswer);
    site.declare(&["a"]);
    interceptor.triggered().await;
    site.hosts[planner].pause().await;
    interceptor.release();
    until("another host holds the planning lease", async || {
        site.planner().is_some_and(|p| p != planner)
    })
    .await;
    site.declare(&["b"]);
    tokio::time::sleep(LINGER * 2).await;
    assert!(!site.has_ready(0, "b"), "b was loaded while the order for a may still arrive");
    assert_eq!(open_orders(&site)[0].1, format!("host-{planner}"));

    site.hosts[planner].resume();
    site.wait_until_loaded("b").await;
    site.check_no_overcommit().await;
}

/// The lease of 30 ms is so short that hosts take it from each other all the time.
#[rstest]
#[tokio::test]
async fn two_planners_at_once_promise_no_memory_twice(#[values(true, false)] fenced: bool) {
    let engines = vec![engine(0, fenced), engine(1, fenced)];
    let mut site = Site::start(3, engines, 30).await;
    for model in ["a", "b", "a", "b"] {
        site.declare(&[model]);
        site.engines[0].fault(|fault| fault.lost_acks = 1);
        site.engines[1].fault(|fault| {
            fault.late_orders = 1;
            fault.lateness = ORDER_DELAY / 3;
        });
        site.wait_until_loaded(model).await;
    }
    site.check_no_overcommit().await;
}

#[tokio::test]
async fn operators_see_why_memory_is_held_and_what_would_free_it() {
    let mut site = Site::start(2, vec![engine(0, false)], LEASE_MS).await;
    site.engines[0].fault(|fault| fault.lost_orders = 1);
    site.declare(&["a"]);
    until("an order is lost", async || 1 < open_orders(&site).len() || site.has_ready(0, "a"))
        .await;
    // Any host reports open moves, even one that never plans, such as this one in the test process.
    let host = stage::start(site.unlisted_settings()).await.expect("the host starts");
    let text = get(host.context().host().operators, "/status/moves").await;
    let status: Value = serde_json::from_str(&text).expect("the answer is JSON");
    assert_eq!(status["current"], true);
    assert_eq!(status["memory"][0]["capacity"], CAPACITY);
    assert_eq!(status["memory"][0]["promised"], MODEL_MEMORY);
    let open = status["open"].as_array().expect("open moves are listed");
    assert!(!open.is_empty(), "the lost order is not open during the linger time");
    let conditions = open[0]["settled_by"].as_array().expect("the conditions are listed");
    assert!(conditions.iter().any(|condition| {
        condition.as_str().is_some_and(|condition| condition.contains("in flight"))
    }));
    site.check_no_overcommit().await;
}

async fn get(address: SocketAddr, path: &str) -> String {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let uri = format!("http://{address}{path}").parse().expect("the URI is valid");
    let response = client.request(
        Request::get::<Uri>(uri).body(Empty::<Bytes>::new()).expect("the request is valid"),
    );
    let response = response.await.expect("the host answers");
    let body = response.into_body().collect().await.expect("the answer is complete").to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

/// Ids and senders of the first engine's open orders.
fn open_orders(site: &Site) -> Vec<(String, String)> {
    let orders = site.ledger(0).map(|ledger| ledger.orders).unwrap_or_default();
    let open = orders.iter().map(|entry| &entry.order);
    open.map(|order| (order.id.to_string(), order.sender.to_string())).collect()
}
