//! Quotas of customers over all hosts.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use platform::remote::entry::Tenant;
use standin::routed::{caller::RequestSpec, host::Host};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::site::{backend, declaration, page, start_site};

/// Tokens of each request, since pages state none.
const COST: u32 = 1_000;

/// Customer whose demand is several times its quota.
const HOT: Tenant =
    Tenant { name: "hot", key: "key-of-hot", rate: 10_000.0, burst: 5_000.0, plain_tokens: COST };

/// Customer that stays far below its quota.
const CALM: Tenant = Tenant {
    name: "calm",
    key: "key-of-calm",
    rate: 400_000.0,
    burst: 400_000.0,
    plain_tokens: COST,
};

/// Time from the start in which balances fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time of the load, and when in it one host is killed.
const LOAD_TIME: Duration = Duration::from_secs(12);
const KILL_AFTER: Duration = Duration::from_secs(4);

/// Status of an answer, when it arrived, and its `Retry-After`.
type Seen = (StatusCode, Instant, Option<Duration>);

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
    backend.declare_tenants(&declaration(), &[HOT, CALM]);
    let site = start_site(backend, 3).await;
    site.wait_until_ready().await;
    sleep(WARM_UP).await;
    let began = Instant::now();
    let until = began + LOAD_TIME;
    let hot = load(&site.hosts, page().key(HOT.key), Duration::from_millis(20), until);
    let calm = load(&site.hosts, page().key(CALM.key), Duration::from_millis(200), until);
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
    let most = (HOT.rate * window.as_secs_f64() + HOT.burst) * 1.1 + 7_400.0;
    let admitted: Vec<Instant> =
        hot.iter().filter(|(status, ..)| status.is_success()).map(|(_, at, _)| *at).collect();
    for first in &admitted {
        let count = admitted.iter().filter(|at| *first <= **at && **at < *first + window).count();
        let tokens = count as f64 * f64::from(COST);
        assert!(tokens <= most, "{tokens} tokens in {window:?}, at most {most}");
    }
    let used = admitted.len() as f64 * f64::from(COST) / (HOT.rate * LOAD_TIME.as_secs_f64());
    // One host of three is gone for two thirds of the time.
    assert!(0.6 <= used, "only {used:.3} of the rate is used");
}
