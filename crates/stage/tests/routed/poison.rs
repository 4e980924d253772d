//! A request that crashes the servers that run it, while hosts start anew or don't hear each other.

use std::{net::IpAddr, time::Duration};

use http::{Method, StatusCode};
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    links::Delivery,
    server::{Ending, Server, Settings},
    site::Site,
};
use tokio::time::{sleep, timeout};

use crate::site::{HOST, backend, declaration, page, status_of, undeclared_with};

const HOSTS: usize = 4;

/// Servers that the request may crash; none comes back.
const SERVERS: usize = 40;

/// Crashes after which the request is known to cause them.
const KNOWN: usize = 3;

/// Time without trouble after which a host is in touch, with some to spare.
const CONTACT: Duration = Duration::from_millis(3_300);

const PATIENCE: Duration = Duration::from_secs(2);

/// What happens to the hosts once the request has crashed three servers.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Each host is killed and started in turn.
    InTurn,
    /// All hosts are killed at once, and started, twice.
    AtOnce,
    /// Each host in turn hears nothing and is not heard.
    Deaf,
}

/// Where the caller of the request is seen to call from.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// One address at all hosts.
    One,
    /// Another address at each host.
    EachHost,
}

async fn site() -> Site {
    let mut backend = backend().await;
    for number in 3..SERVERS {
        backend.add(Settings::plain(&format!("app-{number}"), "app")).await.expect("a server");
    }
    backend.script(|script| script.poison = Some("poison"));
    backend.declare(&declaration());
    let mut site = undeclared_with(backend, Site::relay_links);
    for _ in 0..HOSTS {
        site.add(|_| {}).await.expect("a host");
    }
    site.wait_until_ready().await;
    sleep(Duration::from_secs(1)).await;
    site
}

fn crashed(site: &Site) -> usize {
    let runs = site.backend.servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.ending == Some(Ending::Crashed)).count()
}

/// Sends the request through each host, and an innocent one beside it.
async fn send_through_all(site: &mut Site, source: Source) {
    for place in 0..HOSTS {
        let host = &site.hosts[place];
        let poison = RequestSpec::to(HOST, "/tickets/new")
            .with_body(Method::POST, "poison")
            .deadline(Some(PATIENCE));
        let mut caller = match source {
            Source::One => host.caller(),
            Source::EachHost => host.caller().from(IpAddr::from([127, 77, 0, place as u8 + 1])),
        };
        let _ = timeout(PATIENCE, caller.fetch(&poison)).await;
        assert_eq!(status_of(host, &page()).await, Some(StatusCode::OK), "an innocent request");
        forget_crashed(site);
        sleep(Duration::from_millis(150)).await;
    }
}

/// Ends the registrations of the servers that have crashed.
fn forget_crashed(site: &mut Site) {
    let has_crashed =
        |server: &&Server| server.runs().iter().any(|run| run.ending == Some(Ending::Crashed));
    let crashed = site.backend.servers.iter().filter(has_crashed);
    let crashed: Vec<_> = crashed.map(|server| server.id().to_string()).collect();
    crashed.iter().for_each(|id| site.backend.deregister(id));
}

/// Lets the request crash as many servers as it may in calm.
async fn learn(site: &mut Site, source: Source) {
    for _ in 0..3 {
        send_through_all(site, source).await;
    }
    assert_eq!(crashed(site), KNOWN, "servers ended in calm");
}

async fn restart(site: &mut Site, places: std::ops::Range<usize>) {
    places.clone().for_each(|place| site.hosts[place].kill());
    for place in places {
        site.restart(place).await.expect("a host");
        site.hosts[place].wait_until_ready().await;
    }
    sleep(CONTACT).await;
}

/// Sets the links between a host and all others.
fn set_links(site: &Site, place: usize, delivery: Delivery) {
    for other in (0..HOSTS).filter(|other| *other != place) {
        site.links().set_delivery(place, other, delivery);
        site.links().set_delivery(other, place, delivery);
    }
}

#[rstest]
#[case::hosts_start_anew_in_turn(Trouble::InTurn)]
#[case::all_hosts_start_anew_at_once(Trouble::AtOnce)]
#[case::hosts_hear_nothing_in_turn(Trouble::Deaf)]
#[tokio::test]
async fn a_request_known_to_crash_servers_stays_refused(#[case] trouble: Trouble) {
    let mut site = site().await;
    learn(&mut site, Source::One).await;
    match trouble {
        Trouble::InTurn => {
            for place in 0..HOSTS {
                restart(&mut site, place..place + 1).await;
                send_through_all(&mut site, Source::One).await;
            }
        }
        Trouble::AtOnce => {
            for _ in 0..3 {
                restart(&mut site, 0..HOSTS).await;
                send_through_all(&mut site, Source::One).await;
            }
        }
        Trouble::Deaf => {
            for place in 0..HOSTS {
                set_links(&site, place, Delivery::Lost);
                sleep(CONTACT + Duration::from_secs(1)).await;
                send_through_all(&mut site, Source::One).await;
                set_links(&site, place, Delivery::Passes);
                sleep(CONTACT).await;
                send_through_all(&mut site, Source::One).await;
            }
        }
    }
    assert_eq!(crashed(&site), KNOWN, "servers ended");
}

#[tokio::test]
async fn a_request_that_crashes_servers_is_known_wherever_it_is_called_from() {
    let mut site = site().await;
    learn(&mut site, Source::EachHost).await;
}
