//! Orders to model servers: what is given, and by whom.

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{
    caller::Caller,
    host::Host,
    server::{OrderRecord, Server},
    site::Site,
    store::{Faults, Refusal},
    until,
};
use tokio::task::JoinSet;

use crate::site::{TURN, chat, site};

const MODELS: [&str; 3] = ["welcome", "desk", "notes"];
const ADAPTERS: [&str; 2] = ["a1", "a2"];

/// Time that a caller gives a request for an adapter.
const SOON: Duration = Duration::from_millis(800);

/// Time between requests; each adapter is left alone for several of them, and can make way.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks for one adapter after the other, of more than there are places, at one host after the other.
fn demand(site: &Site) -> JoinSet<()> {
    let mut callers: Vec<Caller> = site.hosts.iter().map(Host::caller).collect();
    let mut asking = JoinSet::new();
    asking.spawn(async move {
        for turn in 0.. {
            let (model, adapter) = (MODELS[turn % MODELS.len()], ADAPTERS[turn / MODELS.len() % 2]);
            let place = turn / 2 % callers.len();
            ask(&mut callers[place], model, adapter).await;
        }
    });
    asking
}

async fn ask(caller: &mut Caller, model: &str, adapter: &str) {
    let ask = chat().model(model).adapter(adapter).deadline(Some(SOON));
    // A host may be gone or frozen, and what it refuses is asked again soon enough.
    let answer = tokio::time::timeout(SOON * 2, caller.fetch(&ask)).await;
    if !matches!(answer, Ok(Ok(_))) {
        caller.disconnect();
    }
    tokio::time::sleep(PAUSE).await;
}

/// Orders to all servers, in the order in which they were judged.
fn orders(site: &Site) -> Vec<OrderRecord> {
    let mut orders: Vec<OrderRecord> =
        site.backend.servers.iter().flat_map(Server::orders).collect();
    orders.sort_by_key(|given| given.judged_at);
    orders
}

fn holder(site: &Site) -> Option<String> {
    orders(site).last().map(|given| given.order.holder.to_string())
}

/// The place of the host that gives orders now.
async fn place_of_holder(site: &Site) -> usize {
    until("someone gives orders", async || holder(site).is_some()).await;
    let name = holder(site).expect("a holder");
    site.hosts.iter().position(|host| host.name == name).expect("a host of the site")
}

/// Waits until another host gives orders.
async fn handed_over(site: &Site, before: &str) {
    until("another host gives orders", async || {
        holder(site).is_some_and(|holder| holder != before)
    })
    .await;
}

/// Each server has one holder at a time, with fencing numbers that rise, and turns that are apart.
fn check(site: &Site) {
    for server in &site.backend.servers {
        let given = server.orders();
        for pair in given.windows(2) {
            let [before, after] = pair else { continue };
            let context = format!("{} got {before:?}, then {after:?}", server.id());
            if before.order.holder == after.order.holder {
                assert!(before.order.fence <= after.order.fence, "{context}");
            } else {
                assert!(before.order.fence < after.order.fence, "{context}");
                assert!(before.judged_at + TURN <= after.judged_at, "{context}");
            }
        }
        assert_eq!(server.overload(), None, "{} got {given:?}", server.id());
    }
}

#[tokio::test]
async fn one_host_gives_orders() {
    let site = site(3).await;
    let _asking = demand(&site);
    until("many orders are given", async || 30 < orders(&site).len()).await;
    let first = holder(&site);
    assert!(orders(&site).iter().all(|given| Some(given.order.holder.to_string()) == first));
    check(&site);
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGTERM)]
#[tokio::test]
async fn orders_go_on_when_their_host_ends(#[case] signal: Signal) {
    let site = site(3).await;
    let _asking = demand(&site);
    let place = place_of_holder(&site).await;
    site.hosts[place].signal(signal);
    handed_over(&site, &site.hosts[place].name).await;
    check(&site);
}

#[tokio::test]
async fn a_host_that_was_frozen_gives_no_orders_of_its_former_turn() {
    let site = site(3).await;
    let _asking = demand(&site);
    let place = place_of_holder(&site).await;
    site.hosts[place].signal(Signal::SIGSTOP);
    handed_over(&site, &site.hosts[place].name).await;
    site.hosts[place].signal(Signal::SIGCONT);
    let before = orders(&site).len();
    until("orders go on", async || before + 20 < orders(&site).len()).await;
    check(&site);
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::silent(Refusal::Silence)]
#[tokio::test]
async fn orders_go_on_when_the_store_turns_their_host_away(#[case] refusal: Refusal) {
    let site = site(3).await;
    let _asking = demand(&site);
    let place = place_of_holder(&site).await;
    site.backend.store.set_faults(&site.hosts[place].name, |faults| faults.refusal = Some(refusal));
    handed_over(&site, &site.hosts[place].name).await;
    site.backend.store.set_faults(&site.hosts[place].name, |faults| faults.refusal = None);
    let before = orders(&site).len();
    until("orders go on", async || before + 20 < orders(&site).len()).await;
    check(&site);
}

#[rstest]
#[case::lost(|faults: &mut Faults| faults.lost_replies = 5)]
#[case::late(|faults: &mut Faults| faults.late_write = Some(Duration::from_secs(4)))]
#[tokio::test]
async fn writes_to_the_store_without_an_answer_make_no_second_holder(
    #[case] change: fn(&mut Faults),
) {
    let site = site(3).await;
    let _asking = demand(&site);
    place_of_holder(&site).await;
    for _ in 0..3 {
        site.backend.store.set_faults_everywhere(change);
        let before = orders(&site).len();
        until("orders go on", async || before + 20 < orders(&site).len()).await;
    }
    check(&site);
}

#[tokio::test]
async fn orders_that_are_lost_or_late_overload_no_server() {
    use standin::routed::server::OrderFault;
    let site = site(2).await;
    for server in &site.backend.servers {
        let late = OrderFault::Late(Duration::from_millis(900));
        let faults = [OrderFault::Lost, late].into_iter().cycle().take(12);
        server.script(|script| script.order_faults = faults.collect());
    }
    let _asking = demand(&site);
    until("orders go on after all faults", async || 60 < orders(&site).len()).await;
    check(&site);
}
