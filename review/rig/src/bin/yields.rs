//! ONE: a holder of the lease on orders that is partitioned from the servers for a moment.

use std::time::Duration;

use review_rig::{
    Record, chat, declaration, draft, engine, finish, has_trouble, linked_site, millis, page,
    servers,
};
use standin::routed::{
    server::OrderRecord,
    server_links::Cut,
    site::{Site, lease_kind},
    store::Refusal,
};
use tokio::time::{Instant, sleep, sleep_until};

/// `lease-ms` of the settings.
const LEASE: Duration = Duration::from_secs(3);
/// `thaw-slack-ms`: orders that arrive so soon after a link has healed don't count.
const SLACK: Duration = Duration::from_millis(300);
const ROUNDS: usize = 6;
/// Time after which the script gives up.
const LIMIT: Duration = Duration::from_secs(112);

fn orders(site: &Site) -> Vec<(String, OrderRecord)> {
    let servers = site.backend.servers.iter();
    let mut all: Vec<(String, OrderRecord)> = servers
        .flat_map(|server| {
            let id = server.id().to_string();
            server.orders().into_iter().map(move |order| (id.clone(), order))
        })
        .collect();
    all.sort_by_key(|(_, order)| order.arrived_at);
    all
}

fn spawn_traffic(site: &Site) {
    for host in &site.hosts {
        for specs in [
            vec![page()],
            vec![draft("welcome"), draft("desk")],
            vec![draft("desk"), draft("welcome")],
        ] {
            let mut caller = host.caller();
            tokio::spawn(async move {
                for number in 0.. {
                    let spec = specs[number % specs.len()].with_new_prompt();
                    let spec = spec.deadline(Some(Duration::from_secs(2)));
                    if tokio::time::timeout(Duration::from_secs(3), caller.fetch(&spec))
                        .await
                        .is_err()
                    {
                        caller.disconnect();
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }
    }
}

/// Asks each host for adapters that no server holds.
fn ask_for_adapters(site: &Site, adapters: &[u32]) {
    for host in &site.hosts {
        for number in adapters {
            let mut caller = host.caller();
            let spec = chat("welcome").adapter(&format!("a{number}"));
            let spec = spec.deadline(Some(Duration::from_secs(12)));
            tokio::spawn(async move {
                let _ = tokio::time::timeout(Duration::from_secs(14), caller.fetch(&spec)).await;
            });
        }
    }
}

/// Lets the store turn a host away, or serve it again.
fn turn_away(site: &Site, index: usize, is_away: bool) {
    let refusal = is_away.then_some(Refusal::Down);
    site.backend.store.set_faults(&site.hosts[index].name, |faults| faults.refusal = refusal);
}

/// Whether the lease in the store is released.
fn is_released(site: &Site) -> bool {
    let lease = site.backend.store.names(&lease_kind()).first().cloned();
    let object = lease.and_then(|name| site.backend.store.object(&lease_kind(), &name));
    object.is_some_and(|object| object.content["claim"]["released"].is_u64())
}

#[tokio::main]
async fn main() {
    let record = Record::create();
    let broken = tokio::time::timeout(LIMIT, run(&record)).await;
    finish(&record, broken.ok());
}

async fn run(record: &Record) -> Vec<String> {
    // How long the store turns the host away; with 0 the cut of the links is the only disruption.
    let store_for = millis("STORE_FOR", 4500);
    let engine = engine(2000);
    let site = linked_site(4, &declaration(engine.clone()), servers(&engine)).await;
    spawn_traffic(&site);
    sleep(Duration::from_secs(2)).await;
    ask_for_adapters(&site, &[1, 2]);
    sleep(Duration::from_secs(2)).await;
    let mut healed: Vec<(String, Instant)> = Vec::new();
    let mut next = 3;
    for round in 0..ROUNDS {
        sleep(Duration::from_secs(3)).await;
        let Some((_, last)) = orders(&site).pop() else {
            panic!("no order was sent");
        };
        let holder = last.order.holder.to_string();
        let index = site.hosts.iter().position(|host| host.name == holder).expect("a host");
        let began = Instant::now();
        record.line(format!("round {round}: {holder} gave the last order"));
        if has_trouble() {
            record.line(format!("the links of {holder} to all servers are cut"));
            site.backend.server_links().cut(index, Cut::Reset);
        }
        // Once the host has given the lease back, its links to the servers are back, and the store turns
        // it away for a while.
        while has_trouble() && !is_released(&site) && began.elapsed() < Duration::from_secs(4) {
            sleep(Duration::from_millis(5)).await;
        }
        let mark = Instant::now();
        if has_trouble() {
            site.backend.server_links().heal(index);
            healed.push((holder.clone(), Instant::now()));
            let is_released = is_released(&site);
            record.line(format!(
                "{holder} has released the lease: {is_released}; its links are back"
            ));
            if !store_for.is_zero() {
                turn_away(&site, index, true);
                record.line(format!("{holder} is turned away by the store (503)"));
            }
        }
        while mark.elapsed() < Duration::from_millis(3500) {
            ask_for_adapters(&site, &[next]);
            next += 1;
            sleep(Duration::from_millis(20)).await;
        }
        sleep_until(mark + store_for).await;
        if has_trouble() && !store_for.is_zero() {
            turn_away(&site, index, false);
            record.line(format!("the store serves {holder} again"));
            healed.push((holder.clone(), Instant::now()));
        }
        sleep_until(began + Duration::from_secs(9)).await;
    }
    let mut broken = Vec::new();
    let mut regressed = 0;
    let all = orders(&site);
    for (server, order) in &all {
        record.line(format!(
            "order at {:.3} s to {server}: {:?} {}/{:?} by {} fence {} -> {:?}",
            record.seconds(order.arrived_at),
            order.order.operation,
            order.order.model,
            order.order.adapter,
            order.order.holder,
            order.order.fence,
            order.outcome,
        ));
    }
    for server in &site.backend.servers {
        let id = server.id().to_string();
        let counted = all.iter().filter(|(at, order)| {
            let by = order.order.holder.to_string();
            let is_excused = healed.iter().any(|(host, at)| {
                *host == by && *at <= order.arrived_at && order.arrived_at < *at + SLACK
            });
            *at == id && !is_excused
        });
        let counted: Vec<_> = counted.collect();
        let mut highest = 0;
        for (_, order) in &counted {
            if order.order.fence < highest {
                regressed += 1;
                record.line(format!(
                    "{id} got fence {} of {} at {:.3} s after fence {highest}",
                    order.order.fence,
                    order.order.holder,
                    record.seconds(order.arrived_at),
                ));
            }
            highest = highest.max(order.order.fence);
        }
        for pair in counted.windows(2) {
            let (before, after) = (&pair[0].1, &pair[1].1);
            let gap = after.arrived_at - before.arrived_at;
            if before.order.holder != after.order.holder && gap < LEASE {
                broken.push(format!(
                    "{id} got an order of {} at {:.3} s and one of {} {:.3} s later",
                    before.order.holder,
                    record.seconds(before.arrived_at),
                    after.order.holder,
                    gap.as_secs_f64(),
                ));
            }
        }
    }
    record.line(format!("{regressed} orders with a lower fence after a higher one"));
    broken
}
