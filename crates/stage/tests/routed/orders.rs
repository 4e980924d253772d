//! Orders to model servers: at most one host sends them at a time, within the servers' limits.

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

use crate::site::{HANDOVER_GAP, chat, site};

const MODELS: [&str; 3] = ["welcome", "desk", "notes"];
const ADAPTERS: [&str; 2] = ["a1", "a2"];

const DEADLINE: Duration = Duration::from_millis(800);

/// Pause between two requests. Each adapter is idle for several pauses, so that it may be unloaded
/// for another.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a task that sends requests for each adapter in turn, to the hosts in turn. There are more
/// adapters than slots for them.
fn spawn_demand(site: &Site) -> JoinSet<()> {
    let mut callers: Vec<Caller> = site.hosts.iter().map(Host::caller).collect();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        for number in 0.. {
            let (model, adapter) =
                (MODELS[number % MODELS.len()], ADAPTERS[number / MODELS.len() % 2]);
            let index = number / 2 % callers.len();
            ask(&mut callers[index], model, adapter).await;
        }
    });
    tasks
}

async fn ask(caller: &mut Caller, model: &str, adapter: &str) {
    let request = chat().model(model).adapter(adapter).deadline(Some(DEADLINE));
    // The host may be stopped; what it refuses is requested again in the next round.
    let answer = tokio::time::timeout(DEADLINE * 2, caller.fetch(&request)).await;
    if !matches!(answer, Ok(Ok(_))) {
        caller.disconnect();
    }
    tokio::time::sleep(REQUEST_INTERVAL).await;
}

/// Orders that all servers got, by the time at which the server accepted or refused each.
fn orders(site: &Site) -> Vec<OrderRecord> {
    let mut orders: Vec<OrderRecord> =
        site.backend.servers.iter().flat_map(Server::orders).collect();
    orders.sort_by_key(|record| record.judged_at);
    orders
}

fn holder(site: &Site) -> Option<String> {
    orders(site).last().map(|record| record.order.holder.to_string())
}

/// Index in [`Site::hosts`] of the host that sent the last order.
async fn holder_index(site: &Site) -> usize {
    until("a host sends orders", async || holder(site).is_some()).await;
    let name = holder(site).expect("an order was sent");
    site.hosts.iter().position(|host| host.name == name).expect("a host of the site sent the order")
}

/// Waits until a host other than `previous` sends orders.
async fn wait_for_handover(site: &Site, previous: &str) {
    until("another host sends orders", async || {
        holder(site).is_some_and(|holder| holder != previous)
    })
    .await;
}

/// Asserts that each server got orders from one holder at a time, with rising fencing numbers and
/// [`HANDOVER_GAP`] between two holders, and no more orders than it can carry out.
fn check_orders(site: &Site) {
    for server in &site.backend.servers {
        let records = server.orders();
        for pair in records.windows(2) {
            let [before, after] = pair else { continue };
            let context = format!("{} got {before:?}, then {after:?}", server.id());
            if before.order.holder == after.order.holder {
                assert!(before.order.fence <= after.order.fence, "{context}");
            } else {
                assert!(before.order.fence < after.order.fence, "{context}");
                assert!(before.judged_at + HANDOVER_GAP <= after.judged_at, "{context}");
            }
        }
        assert_eq!(server.overload(), None, "{} got {records:?}", server.id());
    }
}

#[tokio::test]
async fn one_host_gives_orders() {
    let site = site(3).await;
    let _demand = spawn_demand(&site);
    until("many orders are sent", async || 30 < orders(&site).len()).await;
    let first = holder(&site);
    assert!(orders(&site).iter().all(|record| Some(record.order.holder.to_string()) == first));
    check_orders(&site);
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGTERM)]
#[tokio::test]
async fn orders_go_on_when_their_host_ends(#[case] signal: Signal) {
    let site = site(3).await;
    let _demand = spawn_demand(&site);
    let index = holder_index(&site).await;
    site.hosts[index].signal(signal);
    wait_for_handover(&site, &site.hosts[index].name).await;
    check_orders(&site);
}

#[tokio::test]
async fn a_host_that_was_frozen_gives_no_orders_of_its_former_turn() {
    let site = site(3).await;
    let _demand = spawn_demand(&site);
    let index = holder_index(&site).await;
    site.hosts[index].signal(Signal::SIGSTOP);
    wait_for_handover(&site, &site.hosts[index].name).await;
    site.hosts[index].signal(Signal::SIGCONT);
    let orders_before = orders(&site).len();
    until("more orders are sent", async || orders_before + 20 < orders(&site).len()).await;
    check_orders(&site);
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::silent(Refusal::Silence)]
#[tokio::test]
async fn orders_go_on_when_the_store_turns_their_host_away(#[case] refusal: Refusal) {
    let site = site(3).await;
    let _demand = spawn_demand(&site);
    let index = holder_index(&site).await;
    site.backend.store.set_faults(&site.hosts[index].name, |faults| faults.refusal = Some(refusal));
    wait_for_handover(&site, &site.hosts[index].name).await;
    site.backend.store.set_faults(&site.hosts[index].name, |faults| faults.refusal = None);
    let orders_before = orders(&site).len();
    until("more orders are sent", async || orders_before + 20 < orders(&site).len()).await;
    check_orders(&site);
}

#[rstest]
#[case::lost(|faults: &mut Faults| faults.lost_replies = 5)]
#[case::late(|faults: &mut Faults| faults.late_write = Some(Duration::from_secs(4)))]
#[tokio::test]
async fn writes_to_the_store_without_an_answer_make_no_second_holder(
    #[case] change: fn(&mut Faults),
) {
    let site = site(3).await;
    let _demand = spawn_demand(&site);
    holder_index(&site).await;
    for _ in 0..3 {
        site.backend.store.set_faults_everywhere(change);
        let orders_before = orders(&site).len();
        until("more orders are sent", async || orders_before + 20 < orders(&site).len()).await;
    }
    check_orders(&site);
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
    let _demand = spawn_demand(&site);
    until("orders are sent after all faults", async || 60 < orders(&site).len()).await;
    check_orders(&site);
}
