//! Sends heartbeats, and updates routing from the membership state of hosts and backend servers.

mod reporter;

use std::sync::Arc;

use policy::{
    member::{Standing, heartbeat::InFlight, heartbeat::Topic},
    route,
};
use types::prelude::*;

use self::reporter::Reporter;
use crate::{context::Context, peers};

/// Maximum age of a peer's advertised requests in flight.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(3);

/// Time after which a suspicion expires unless it is renewed.
const SUSPICION_DURATION: Duration = Duration::from_secs(1);

/// Delay between attempts to contact the hosts named in the settings.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Sends heartbeats forever.
pub(super) async fn run(context: Arc<Context>) {
    let mut reporter = Reporter::default();
    loop {
        let now = context.now();
        let own = context.traffic.in_flight();
        let (pace, actions) = {
            let mut gossip = context.peers.gossip();
            let digest = own.into_iter().map(|(server, load)| InFlight(server, load.requests));
            gossip.set_in_flight(digest.collect());
            (gossip.pace(), gossip.tick(now))
        };
        peers::perform(&context, actions);
        apply(&context);
        reporter.update(&context);
        tokio::time::sleep(pace).await;
    }
}

/// Advertises each configuration number that comes into force here to the other hosts.
pub(super) async fn advertise_config(context: Arc<Context>) {
    let mut changes = context.config_changes();
    loop {
        let number = changes.borrow_and_update().number;
        let actions = context.peers.gossip().set_version(context.now(), Topic::Config, number);
        peers::perform(&context, actions);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Contacts the hosts named in the settings until at least one host is known.
pub(super) async fn contact_seeds(context: Arc<Context>) {
    while context.peers.gossip().hosts().iter().next().is_none() {
        for address in &context.settings.peers {
            if let Err(error) = contact_seed(&context, *address).await {
                log::debug!("host named in the settings not reached: {error}");
            }
        }
        tokio::time::sleep(SEED_RETRY_INTERVAL).await;
    }
}

async fn contact_seed(
    context: &Arc<Context>,
    address: std::net::SocketAddr,
) -> Result<(), ::peer::Error> {
    let hello = context.peers.gossip().hello(context.now());
    let answer = context.peers.client().heartbeat(address, hello).await?;
    let actions = context.peers.gossip().answer(context.now(), &answer);
    peers::perform(context, actions);
    let known = context.peers.client().members(address).await?;
    context.peers.gossip().introduce_all(context.now(), &known);
    apply(context);
    Ok(())
}

/// Updates routing from the membership state of hosts and backend servers.
pub(super) fn apply(context: &Context) {
    let now = context.now();
    let list = context.peers.gossip().to_list(now);
    if list != *context.fleet.list() {
        context.traffic.set_servers(&list);
        context.fleet.set_list(list);
    }
    let gossip = context.peers.gossip();
    for server in gossip.servers().iter() {
        if server.standing(now) == Standing::Suspected {
            let until = route::Eligibility::Suspected(now + SUSPICION_DURATION);
            context.traffic.set_eligibility(&server.server.id, until);
        }
    }
    for member in gossip.hosts().iter() {
        if member.last_answer().is_none_or(|at| at + PEER_LOAD_MAX_AGE <= now) {
            context.traffic.forget_peer(&member.host.id);
        }
    }
}
