//! A planned stop is a graceful shutdown and interrupts no request in flight.

use nix::sys::signal::Signal;
use standin::engine::Settings;

use crate::common::{Builder, LoadGenerator, Site, Workload, until};

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
    let workload = Workload { name: "stop", models: vec![MODEL.into()], tokens: 100 };
    for index in 0..site.hosts().len() {
        let generator = LoadGenerator::start(9, &site.host_addresses(), workload.clone());
        until("calls complete before the stop", async || 9 <= generator.endings().complete_count())
            .await;

        site.hosts()[index].signal(Signal::SIGTERM);
        let code = site.hosts_mut()[index].wait_for_exit().await;
        let complete = generator.endings().complete_count();
        until("more calls complete after the stop", async || {
            complete + 9 <= generator.endings().complete_count()
        })
        .await;

        let endings = generator.stop().await;
        assert_eq!(code, Some(0));
        assert_eq!(
            endings.failures(),
            [],
            "failures among {} calls during the stop of host {index}",
            endings.all().len()
        );
        site.restart(index).await;
        site.wait_until_host_ready(index).await;
    }
    site.shut_down().await;
}
