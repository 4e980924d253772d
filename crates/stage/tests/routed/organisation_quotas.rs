//! Quotas of customers over all hosts.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use standin::routed::{caller::RequestSpec, host::Host, site::Customer};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};
use types::{
    customer::{Quota, Unit},
    routed::Rate,
};

use crate::site::{backend, declaration, page, start_site};

/// Tokens of each request, since pages state none.
const COST: u32 = 1_000;

/// Key of the customer whose demand is several times its quota, and its quota.
const HOT_KEY: &str = "key-of-hot";
const HOT_RATE: f64 = 10_000.0;
const HOT_BURST: f64 = 5_000.0;

/// Key of the customer that stays far below its quota, and the rate and burst of that.
const CALM_KEY: &str = "key-of-calm";
const CALM_RATE: f64 = 400_000.0;

/// Time from the start in which balances fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time of the load, and when in it one host is killed.
const LOAD_TIME: Duration = Duration::from_secs(12);
const KILL_AFTER: Duration = Duration::from_secs(4);

/// Status of an answer, when it arrived, and its `Retry-After`.
type Seen = (StatusCode, Instant, Option<Duration>);

fn customer(name: &str, key: &str, rate: f64, burst: f64) -> Customer {
    let rate = Rate::per_second(rate).expect("a rate");
    let quota = Quota { rate, burst, unit: Unit::Tokens { plain: COST } };
    Customer { quota: Some(quota), ..Customer::new(name, &[key]) }
}

async fn load(hosts: &[Host], request: RequestSpec, pause: Duration, until: Instant) -> Vec<Seen> {
    let mut callers = JoinSet::new();
    for host in hosts {
        let (mut caller, request) = (host.caller(), request.clone());
        callers.spawn(async move {
            let mut seen = Vec::new();
            while Instant::now() < until {
                let request = request.with_new_id();
                // A killed host gives no answer.
                let answer = timeout(Duration::from_secs(2), caller.fetch(&request)).await;
                if let Ok(Ok(answer)) = answer {
                    seen.push((answer.status, Instant::now(), answer.metadata.retry_after));
                }
                sleep(pause).await;
            }
            seen
        });
    }
    callers.join_all().await.concat()
}

/// A customer above its quota must be refused with a time to retry, and must not take more than its
/// quota over all hosts, while another customer is refused nothing, also when a host dies.
#[tokio::test]
async fn only_a_customer_above_its_quota_is_refused() {
    let backend = backend().await;
    let hot = customer("hot", HOT_KEY, HOT_RATE, HOT_BURST);
    let calm = customer("calm", CALM_KEY, CALM_RATE, CALM_RATE);
    backend.declare_with(&declaration(), &[hot, calm]);
    let site = start_site(backend, 3).await;
    site.wait_until_ready().await;
    sleep(WARM_UP).await;
    let began = Instant::now();
    let until = began + LOAD_TIME;
    let hot = load(&site.hosts, page().key(HOT_KEY), Duration::from_millis(20), until);
    let calm = load(&site.hosts, page().key(CALM_KEY), Duration::from_millis(200), until);
    let kill = async {
        sleep_until(began + KILL_AFTER).await;
        site.hosts[2].signal(Signal::SIGKILL);
    };
    let (hot, calm, ()) = tokio::join!(hot, calm, kill);

    let refused = |seen: &&Seen| seen.0 == StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(calm.iter().filter(refused).count(), 0, "of a customer below its quota");
    assert!(!calm.is_empty());
    let denied: Vec<_> = hot.iter().filter(refused).collect();
    assert!(!denied.is_empty(), "nothing is refused above the quota");
    assert!(denied.iter().all(|(_, _, after)| after.is_some()), "a refusal names no time");
    let window = Duration::from_secs(8);
    let most = (HOT_RATE * window.as_secs_f64() + HOT_BURST) * 1.1 + 7_400.0;
    let admitted: Vec<Instant> =
        hot.iter().filter(|(status, ..)| status.is_success()).map(|(_, at, _)| *at).collect();
    for first in &admitted {
        let count = admitted.iter().filter(|at| *first <= **at && **at < *first + window).count();
        let tokens = count as f64 * f64::from(COST);
        assert!(tokens <= most, "{tokens} tokens in {window:?}, at most {most}");
    }
    let used = admitted.len() as f64 * f64::from(COST) / (HOT_RATE * LOAD_TIME.as_secs_f64());
    // One host of three is gone for two thirds of the time.
    assert!(0.6 <= used, "only {used:.3} of the rate is used");
}
