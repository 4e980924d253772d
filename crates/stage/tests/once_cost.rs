//! Cost of claiming an idempotency key: added latency, and object API writes and reads per claim.

#![allow(clippy::print_stdout, reason = "output of a measurement")]

mod common;

use std::time::{Duration, Instant};

use common::{Site, send};
use futures_util::{StreamExt, stream};
use standin::plain::Plain;

const HOSTS: usize = 3;
const SENDS: usize = 400;
/// Latency of each answer of the platform.
const PLATFORM_LATENCY: Duration = Duration::from_millis(3);

#[tokio::test]
#[ignore = "a measurement"]
async fn cost_of_a_claim() {
    let site =
        Site::start_with(HOSTS, Vec::new(), vec![Plain::start("app-0").await.unwrap()]).await;
    site.platform.fault(|fault| fault.latency = PLATFORM_LATENCY);
    for concurrency in [1, 16, 64, 256] {
        let unkeyed = send_all(&site, concurrency, None).await;
        let before = site.platform.calls();
        let prefix = format!("{concurrency}");
        let start = Instant::now();
        let keyed = send_all(&site, concurrency, Some(&prefix)).await;
        let elapsed = start.elapsed().as_secs_f64();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = site.platform.calls();
        println!(
            "{concurrency:>3} concurrent: without key p50 {:.1} p99 {:.1} ms; \
             with key p50 {:.1} p99 {:.1} ms; \
             {:.0} claims/s; {:.2} writes and {:.2} reads per claim",
            percentile(&unkeyed, 0.5),
            percentile(&unkeyed, 0.99),
            percentile(&keyed, 0.5),
            percentile(&keyed, 0.99),
            keyed.len() as f64 / elapsed,
            (after.writes - before.writes) as f64 / keyed.len() as f64,
            (after.reads - before.reads) as f64 / keyed.len() as f64,
        );
    }
    let sizes: Vec<usize> = site
        .platform
        .keys("once/")
        .iter()
        .filter_map(|key| site.platform.peek(key))
        .map(|(_, value)| value.to_string().len())
        .collect();
    let keys = 4 * SENDS;
    println!("{} ranges, {} bytes per key", sizes.len(), sizes.iter().sum::<usize>() / keys);
    assert!(site.plains()[0].runs_by_key().values().filter(|runs| **runs == 1).count() >= keys);
    site.shut_down().await;
}

async fn send_all(site: &Site, concurrency: usize, keys: Option<&str>) -> Vec<f64> {
    let mut times: Vec<f64> = stream::iter(0..SENDS)
        .map(|number| async move {
            let key = keys.map(|prefix| format!("ticket-{prefix}-{number}"));
            let headers: Vec<(&str, &str)> =
                key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
            let callers = site.hosts()[number % HOSTS].callers();
            let start = Instant::now();
            let answer =
                send(callers, "POST", "/services/tickets/issue", &headers, "room 12").await;
            assert_eq!(answer.status, 200, "{}", answer.text());
            start.elapsed().as_secs_f64() * 1000.0
        })
        .buffer_unordered(concurrency)
        .collect()
        .await;
    times.sort_by(f64::total_cmp);
    times
}

fn percentile(sorted: &[f64], ratio: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * ratio) as usize]
}
