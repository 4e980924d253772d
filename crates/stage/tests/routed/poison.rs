//! A request that crashes each server that runs it, while hosts restart or can't reach each other.

use std::{net::IpAddr, time::Duration};

use http::{Method, StatusCode};
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    links::Delivery,
    server::{Server, Settings},
    site::{Customer, Site},
};
use tokio::time::{sleep, timeout};

use crate::{
    organisations::{HARBOUR, HARBOUR_KEY, MILL, MILL_KEY},
    site::{HOST, backend, declaration, new_site, page, status_of},
};

const HOSTS: usize = 4;

/// Exclusive upper bound of the numbers in the ids of plain servers. The request can crash
/// every one of these servers; a crashed server doesn't restart.
const SERVERS: usize = 40;

/// Number of crashes after which hosts refuse the request.
const MAX_CRASHES: usize = 3;

/// Time without disruption after which a host knows what its peers know, with some margin.
const RECOVERY_TIME: Duration = Duration::from_millis(3_300);

const TIMEOUT: Duration = Duration::from_secs(2);

/// What happens to the hosts once the request has crashed [`MAX_CRASHES`] servers.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// Each host in turn is killed and restarted.
    RollingRestart,
    /// All hosts are killed at once and restarted, three times.
    FullRestart,
    /// Each host in turn is cut off from all others, in both directions.
    Partition,
}

/// Source address of the caller, as the hosts see it.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The same address for all hosts.
    OneAddress,
    /// A different address for each host.
    AddressPerHost,
}

async fn site() -> Site {
    site_with(&[]).await
}

/// Starts a site with these organisations; with none, its callers need no key.
async fn site_with(customers: &[Customer]) -> Site {
    let mut backend = backend().await;
    for number in 3..SERVERS {
        backend
            .add(Settings::plain(&format!("app-{number}"), "app"))
            .await
            .expect("the server starts");
    }
    backend.script(|script| script.poison = Some("poison"));
    match customers {
        [] => backend.declare(&declaration()),
        customers => backend.declare_with(&declaration(), customers),
    }
    let mut site = new_site(backend, Site::relay_links);
    for _ in 0..HOSTS {
        site.add(|_| {}).await.expect("the host starts");
    }
    site.wait_until_ready().await;
    sleep(Duration::from_secs(1)).await;
    site
}

fn crashed_servers(site: &Site) -> impl Iterator<Item = &Server> {
    site.backend.servers.iter().filter(|server| server.crashed_at().is_some())
}

/// Returns the number of servers that crashed.
fn crashed(site: &Site) -> usize {
    crashed_servers(site).count()
}

/// Sends the crashing request through each host, each time followed by a harmless one, which has to
/// succeed.
async fn send_through_all(site: &mut Site, source: Source) {
    for index in 0..HOSTS {
        let host = &site.hosts[index];
        let poison = RequestSpec::to(HOST, "/tickets/new")
            .with_body(Method::POST, "poison")
            .deadline(Some(TIMEOUT));
        let mut caller = match source {
            Source::OneAddress => host.caller(),
            Source::AddressPerHost => {
                host.caller().from(IpAddr::from([127, 77, 0, index as u8 + 1]))
            }
        };
        let _ = timeout(TIMEOUT, caller.fetch(&poison)).await;
        assert_eq!(
            status_of(host, &page()).await,
            Some(StatusCode::OK),
            "a harmless request failed"
        );
        deregister_crashed(site);
        sleep(Duration::from_millis(150)).await;
    }
}

fn deregister_crashed(site: &mut Site) {
    let crashed: Vec<_> = crashed_servers(site).map(|server| server.id().to_string()).collect();
    crashed.iter().for_each(|id| site.backend.deregister(id));
}

/// Sends the request, without any disruption, until it has crashed [`MAX_CRASHES`] servers, and
/// asserts that it crashes no more.
async fn crash_until_refused(site: &mut Site, source: Source) {
    for _ in 0..3 {
        send_through_all(site, source).await;
    }
    assert_eq!(crashed(site), MAX_CRASHES, "number of servers crashed without a disruption");
}

async fn restart(site: &mut Site, indexes: std::ops::Range<usize>) {
    indexes.clone().for_each(|index| site.hosts[index].kill());
    for index in indexes {
        site.restart(index).await.expect("the host starts");
        site.hosts[index].wait_until_ready().await;
    }
    sleep(RECOVERY_TIME).await;
}

/// Sets the delivery on the links between a host and all others, in both directions.
fn set_links(site: &Site, index: usize, delivery: Delivery) {
    for other in (0..HOSTS).filter(|other| *other != index) {
        site.links().set_delivery(index, other, delivery);
        site.links().set_delivery(other, index, delivery);
    }
}

#[rstest]
#[case::hosts_start_anew_in_turn(Disruption::RollingRestart)]
#[case::all_hosts_start_anew_at_once(Disruption::FullRestart)]
#[case::hosts_hear_nothing_in_turn(Disruption::Partition)]
#[tokio::test]
async fn a_request_known_to_crash_servers_stays_refused(#[case] disruption: Disruption) {
    let mut site = site().await;
    crash_until_refused(&mut site, Source::OneAddress).await;
    match disruption {
        Disruption::RollingRestart => {
            for index in 0..HOSTS {
                restart(&mut site, index..index + 1).await;
                send_through_all(&mut site, Source::OneAddress).await;
            }
        }
        Disruption::FullRestart => {
            for _ in 0..3 {
                restart(&mut site, 0..HOSTS).await;
                send_through_all(&mut site, Source::OneAddress).await;
            }
        }
        Disruption::Partition => {
            for index in 0..HOSTS {
                set_links(&site, index, Delivery::Lost);
                sleep(RECOVERY_TIME + Duration::from_secs(1)).await;
                send_through_all(&mut site, Source::OneAddress).await;
                set_links(&site, index, Delivery::Passes);
                sleep(RECOVERY_TIME).await;
                send_through_all(&mut site, Source::OneAddress).await;
            }
        }
    }
    assert_eq!(crashed(&site), MAX_CRASHES, "number of servers crashed");
}

#[tokio::test]
async fn a_request_that_crashes_servers_is_known_wherever_it_is_called_from() {
    let mut site = site().await;
    crash_until_refused(&mut site, Source::AddressPerHost).await;
}

/// The page of a room; that of the room `poison` crashes servers.
fn room(name: &str) -> RequestSpec {
    RequestSpec::to(HOST, &format!("/pages/guest?room={name}")).deadline(Some(TIMEOUT))
}

/// Sound requests with the path of a crashing one clear nothing but themselves.
#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_beside_sound_ones_with_its_path() {
    let mut site = site().await;
    for host in &site.hosts {
        let mut caller = host.caller();
        tokio::spawn(async move {
            for number in 0.. {
                let _ = timeout(TIMEOUT, caller.fetch(&room(&number.to_string()))).await;
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
    for index in (0..HOSTS).cycle().take(3 * HOSTS) {
        let _ = timeout(TIMEOUT, site.hosts[index].caller().fetch(&room("poison"))).await;
        deregister_crashed(&mut site);
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(crashed(&site), MAX_CRASHES, "number of servers crashed");
}

fn order(body: &'static str) -> RequestSpec {
    RequestSpec::to(HOST, "/pages/order?kind=poison").with_body(Method::POST, body)
}

/// Once a request is refused, the requests that share all but one of its properties still run.
#[rstest]
#[case::query(|_: &RequestSpec| {
    RequestSpec::to(HOST, "/pages/order?kind=other").with_body(Method::POST, "one").key(HARBOUR_KEY)
})]
#[case::method(|_: &RequestSpec| order("one").with_body(Method::PUT, "one").key(HARBOUR_KEY))]
#[case::body(|_: &RequestSpec| order("two").key(HARBOUR_KEY))]
#[case::caller(|refused: &RequestSpec| refused.clone().with_key(MILL_KEY))]
#[tokio::test]
async fn a_request_that_differs_from_a_refused_one_runs(
    #[case] change: fn(&RequestSpec) -> RequestSpec,
) {
    let customers = [Customer::new(HARBOUR, &[HARBOUR_KEY]), Customer::new(MILL, &[MILL_KEY])];
    let mut site = site_with(&customers).await;
    let refused = order("one").key(HARBOUR_KEY).deadline(Some(TIMEOUT));
    for index in (0..HOSTS).cycle().take(2 * HOSTS) {
        let _ = timeout(TIMEOUT, site.hosts[index].caller().fetch(&refused.with_new_id())).await;
        deregister_crashed(&mut site);
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(crashed(&site), MAX_CRASHES, "number of servers crashed");
    site.backend.script(|script| script.poison = None);
    for host in &site.hosts {
        assert_eq!(status_of(host, &refused.with_new_id()).await, Some(StatusCode::BAD_GATEWAY));
        let other = change(&refused).with_new_id();
        assert_eq!(status_of(host, &other).await, Some(StatusCode::OK), "{}", host.name);
    }
}
