//! A leaving backend server receives no new requests after a few seconds.

use std::time::Duration;

use standin::engine::Settings;

use crate::common::{Builder, LoadGenerator, Workload, until};

const MODEL: &str = "portal";

/// Time after which a leaving server must receive no new request: "a few seconds" in the guarantee.
const LEAVE_DEADLINE: Duration = Duration::from_secs(3);

#[tokio::test]
async fn leaving_engine_gets_nothing_new_though_the_list_lags() {
    let engine = |id: &str| Settings::new(id).with_model(MODEL, "v1", 900);
    let site = Builder::new(2).engine(engine("lm-1")).engine(engine("lm-2")).start().await;
    site.platform.set_list_lag(Duration::from_secs(60));
    let workload = Workload { name: "leave", models: vec![MODEL.into()], tokens: 10 };
    let generator = LoadGenerator::start(8, &site.host_addresses(), workload);
    until("both engines have received requests", async || {
        site.engines().iter().all(|engine| 4 < engine.counts().arrivals)
    })
    .await;

    site.engines()[0].leave();
    tokio::time::sleep(LEAVE_DEADLINE).await;
    let before = site.engines()[0].counts().arrivals;
    let complete = generator.endings().complete_count();
    until("more calls complete", async || complete + 40 <= generator.endings().complete_count())
        .await;

    let endings = generator.stop().await;
    assert_eq!(
        site.engines()[0].counts().arrivals,
        before,
        "a leaving server received new requests"
    );
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.shut_down().await;
}
