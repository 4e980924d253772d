//! Every planned stop is a graceful shutdown and cuts no request in flight.

use nix::sys::signal::Signal;
use standin::engine::Settings;

use crate::common::{Ask, Builder, Crowd, Site, until};

const MODEL: &str = "portal";

async fn site() -> Site {
    let engine = |id: &str| Settings::new(id).with_model(MODEL, "v1", 900);
    let slow_balancer = |settings: &mut serde_json::Value| {
        settings["drain"]["balancer_ms"] = 1_500.into();
    };
    Builder::new(3)
        .engine(engine("lm-1"))
        .engine(engine("lm-2"))
        .settings(slow_balancer)
        .start()
        .await
}

#[tokio::test]
async fn planned_stop_of_each_host_in_turn_cuts_and_refuses_nothing() {
    let mut site = site().await;
    let ask = Ask { name: "stop", models: vec![MODEL.into()], tokens: 100 };
    for place in 0..site.hosts().len() {
        let crowd = Crowd::start(9, &site.entrances(), ask.clone());
        until("calls end", async || 9 <= crowd.endings().whole()).await;

        site.hosts()[place].signal(Signal::SIGTERM);
        let code = site.hosts_mut()[place].ended().await;
        let whole = crowd.endings().whole();
        until("calls go on", async || whole + 9 <= crowd.endings().whole()).await;

        let endings = crowd.stop().await;
        assert_eq!(code, Some(0));
        assert_eq!(endings.others(), [], "of {} at the stop of {place}", endings.all().len());
        site.restart(place).await;
        site.host_ready(place).await;
    }
    site.end().await;
}
