//! Servers that restart under the same id.

use rstest::rstest;
use standin::routed::{server::Settings, until};

use crate::site::{chat, engine, site, status_of};

/// Settings for a run of the first model server that starts at `started_at`, in Unix
/// milliseconds.
fn run_settings(started_at: u64, models: &[&str]) -> Settings {
    Settings { started_at, ..Settings::model("lm-1", "lm", &engine(), models) }
}

/// Models and orders of the previous run don't count for the next one: it holds the models that it
/// reports, and its orders carry its own count of orders.
#[rstest]
#[case::holds_nothing(&[])]
#[case::holds_another(&["notes"])]
#[tokio::test]
async fn a_server_that_starts_again_is_another_one(#[case] models: &[&str]) {
    let mut site = site(2).await;
    let desk = || chat().model("desk");
    // Raises the first run's count of orders, so that the second run's is lower.
    for adapter in ["a1", "a2"] {
        let request = desk().adapter(adapter);
        until("the adapter answers", async || {
            status_of(&site.hosts[0], &request).await.is_some_and(|status| status.is_success())
        })
        .await;
    }
    assert!(!site.backend.server("lm-1").orders().is_empty());
    site.backend
        .restart(run_settings(1_785_971_202_000, models))
        .await
        .expect("the address is free again");
    for index in [0, 1] {
        until("the model answers again", async || {
            let status = status_of(&site.hosts[index], &desk()).await;
            status.is_some_and(|status| status.is_success())
        })
        .await;
    }
    // The model may have had a replica at the other server already.
    until("the new run gets an order", async || {
        status_of(&site.hosts[0], &desk()).await;
        !site.backend.server("lm-1").orders().is_empty()
    })
    .await;
    let orders = site.backend.server("lm-1").orders();
    let first = orders.first().expect("the server got an order");
    assert_eq!(first.order.expected, Some(0), "the order was planned for the previous run");
    assert_eq!(site.backend.server("lm-1").overload(), None);
}

/// A registration of an earlier run that reaches the store late doesn't replace the current run.
#[tokio::test]
async fn an_entry_of_an_earlier_run_changes_nothing() {
    let mut site = site(1).await;
    let welcome = || chat().model("welcome");
    site.backend
        .restart(run_settings(2_000, &["welcome"]))
        .await
        .expect("the address is free again");
    until("the second run is used", async || {
        status_of(&site.hosts[0], &welcome().with_new_prompt()).await;
        !site.backend.server("lm-1").runs().is_empty()
    })
    .await;
    let address = site.backend.server("lm-2").address();
    let mut earlier = site.backend.server("lm-1").registration().borrow().clone();
    (earlier.started_at, earlier.address) = (1_000, address);
    site.backend.stop_registering("lm-1");
    site.backend.put(&earlier);
    site.wait_until_observed().await;
    let runs_before = site.backend.server("lm-1").runs().len();
    until("the second run is still used", async || {
        status_of(&site.hosts[0], &welcome().with_new_prompt()).await;
        runs_before < site.backend.server("lm-1").runs().len()
    })
    .await;
}
