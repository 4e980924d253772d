//! Servers that start again under their name.

use rstest::rstest;
use standin::routed::{server::Settings, until};

use crate::site::{chat, engine, site, status_of};

/// A run of a model server that began at a time.
fn run(born: u64, models: &[&str]) -> Settings {
    Settings { born, ..Settings::model("lm-1", "lm", &engine(), models) }
}

/// What the run before held and had been ordered counts for nothing: the next one holds what it says, and
/// gets its models by orders at its own count.
#[rstest]
#[case::holds_nothing(&[])]
#[case::holds_another(&["notes"])]
#[tokio::test]
async fn a_server_that_starts_again_is_another_one(#[case] models: &[&str]) {
    let mut site = site(2).await;
    let desk = || chat().model("desk");
    // Orders raise the count of the first run above that of the second.
    for adapter in ["a1", "a2"] {
        let ask = desk().adapter(adapter);
        until("the adapter answers", async || {
            status_of(&site.hosts[0], &ask).await.is_some_and(|status| status.is_success())
        })
        .await;
    }
    assert!(!site.backend.server("lm-1").orders().is_empty());
    site.backend.restart(run(1_785_971_202_000, models)).await.expect("its address");
    for place in [0, 1] {
        until("the model answers again", async || {
            let status = status_of(&site.hosts[place], &desk()).await;
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
    let first = orders.first().expect("an order");
    assert_eq!(first.order.expected, Some(0), "it was worked out from the new run");
    assert_eq!(site.backend.server("lm-1").overload(), None);
}

/// An entry that was written before, and comes late, brings no earlier run back.
#[tokio::test]
async fn an_entry_of_an_earlier_run_changes_nothing() {
    let mut site = site(1).await;
    let welcome = || chat().model("welcome");
    site.backend.restart(run(2_000, &["welcome"])).await.expect("its address");
    until("the second run is used", async || {
        status_of(&site.hosts[0], &welcome().unread()).await;
        !site.backend.server("lm-1").runs().is_empty()
    })
    .await;
    let address = site.backend.server("lm-2").address();
    let mut earlier = site.backend.server("lm-1").registration().borrow().clone();
    (earlier.started_at, earlier.address) = (1_000, address);
    site.backend.silence("lm-1");
    site.backend.put(&earlier);
    site.seen().await;
    let before = site.backend.server("lm-1").runs().len();
    until("it is still used", async || {
        status_of(&site.hosts[0], &welcome().unread()).await;
        before < site.backend.server("lm-1").runs().len()
    })
    .await;
}
