//! An accepted configuration is in force on every host within seconds and never reverts.

use std::time::Duration;

use observe::event::Kind;
use standin::{engine::Settings, fault::Fault};

use crate::common::{Builder, Site, records, until};

const CHANGES: u64 = 10;

async fn site() -> Site {
    Builder::new(3)
        .engine(Settings::new("lm-1").with_model("m", "v1", 900))
        .with_proxies()
        .start()
        .await
}

fn add_customer(site: &Site) -> u64 {
    site.declare(|config| {
        let count = config["customers"].as_object().map_or(0, |customers| customers.len());
        config["customers"][format!("customer-{count}")] = serde_json::json!({});
    })
}

/// Configuration numbers that came into force on a host, in the order of its timeline.
async fn history(site: &Site, index: usize) -> Vec<u64> {
    let records = records(&site.hosts()[index], "").await;
    let number = |kind: &Kind| match kind {
        Kind::Configuration { number } => Some(*number),
        _ => None,
    };
    records.iter().filter_map(|record| number(&record.event.kind)).collect()
}

async fn until_in_force(site: &Site, number: u64) {
    for index in 0..site.hosts().len() {
        until("the configuration is in force", async || site.in_force(index).await == number).await;
    }
}

#[tokio::test]
async fn each_change_is_in_force_on_every_host_and_none_reverts() {
    let site = site().await;
    for _ in 0..CHANGES {
        let number = add_customer(&site);
        until_in_force(&site, number).await;
    }

    for index in 0..site.hosts().len() {
        let history = history(&site, index).await;
        assert!(history.is_sorted_by(|before, after| before < after), "{history:?}");
        assert_eq!(history.last(), Some(&(CHANGES + 1)));
    }
    site.shut_down().await;
}

#[tokio::test]
async fn change_is_in_force_when_an_outage_of_the_platform_ends() {
    let site = site().await;
    site.platform.fault(|fault| fault.down = true);
    let number = add_customer(&site);
    tokio::time::sleep(Duration::from_millis(500)).await;

    site.platform.fault(|fault| fault.down = false);

    until_in_force(&site, number).await;
    site.shut_down().await;
}

#[tokio::test]
async fn change_is_in_force_on_a_host_whose_link_to_the_platform_was_silent() {
    let site = site().await;
    let link = site.links().platform(0);
    link.set_both(Fault::Hold);
    let number = add_customer(&site);
    until("the configuration is in force on another host", async || {
        site.in_force(1).await == number
    })
    .await;

    link.heal();

    until_in_force(&site, number).await;
    site.shut_down().await;
}

#[tokio::test]
async fn killed_hosts_come_back_with_the_number_in_force() {
    let mut site = site().await;
    let number = add_customer(&site);
    until_in_force(&site, number).await;
    for index in 0..site.hosts().len() {
        site.kill(index);
        site.restart(index).await;
        site.wait_until_host_ready(index).await;

        assert_eq!(history(&site, index).await, [number]);
    }
    site.shut_down().await;
}

/// The platform answers with an old configuration, then with the latest one again.
#[tokio::test]
async fn old_answer_of_the_platform_reverts_nothing() {
    let site = site().await;
    let (_, old) = site.platform.peek("config/root").expect("a configuration is stored");
    let number = add_customer(&site);
    until_in_force(&site, number).await;
    let (_, latest) = site.platform.peek("config/root").expect("a configuration is stored");

    site.platform.poke("config/root", old);
    site.platform.poke("config/root", latest);
    let next = add_customer(&site);
    until_in_force(&site, next).await;

    for index in 0..site.hosts().len() {
        assert_eq!(history(&site, index).await, [1, number, next]);
    }
    site.shut_down().await;
}
