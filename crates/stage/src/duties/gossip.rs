//! Beats other hosts, and lets the host go by what is known of hosts and backend servers.

mod account;

use std::sync::Arc;

use policy::{
    member::{Standing, heartbeat::InFlight, heartbeat::Topic},
    route,
};
use types::prelude::*;

use self::account::Account;
use crate::{context::Context, peers};

/// How long a peer's word on its work counts.
const TOLD: Duration = Duration::from_secs(3);

/// How long a suspicion holds without being renewed.
const SUSPICION: Duration = Duration::from_secs(1);

/// Pause between tries to reach the hosts that the settings name.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// Beats for good.
pub(super) async fn run(context: Arc<Context>) {
    let mut account = Account::default();
    loop {
        let now = context.now();
        let own = context.traffic.in_flight();
        let (pace, actions) = {
            let mut gossip = context.peers.gossip();
            let digest = own.into_iter().map(|(server, told)| InFlight(server, told.requests));
            gossip.set_in_flight(digest.collect());
            (gossip.pace(), gossip.tick(now))
        };
        peers::perform(&context, actions);
        apply(&context);
        account.update(&context);
        tokio::time::sleep(pace).await;
    }
}

/// Tells the other hosts of each configuration that comes into force here.
pub(super) async fn tell_numbers(context: Arc<Context>) {
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

/// Asks the hosts that the settings name, until any host is known.
pub(super) async fn ask_seeds(context: Arc<Context>) {
    while context.peers.gossip().hosts().iter().next().is_none() {
        for address in &context.settings.peers {
            if let Err(error) = ask_seed(&context, *address).await {
                log::debug!("host named by the settings: {error}");
            }
        }
        tokio::time::sleep(SEED_PAUSE).await;
    }
}

async fn ask_seed(
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

/// Lets routing go by what is known of hosts and backend servers.
pub(super) fn apply(context: &Context) {
    let now = context.now();
    let picture = context.peers.gossip().to_list(now);
    if picture != *context.fleet.list() {
        context.traffic.list(&picture);
        context.fleet.set_list(picture);
    }
    let gossip = context.peers.gossip();
    for server in gossip.servers().iter() {
        if server.standing(now) == Standing::Suspected {
            let until = route::Eligibility::Suspected(now + SUSPICION);
            context.traffic.set_eligibility(&server.server.id, until);
        }
    }
    for member in gossip.hosts().iter() {
        if member.answered().is_none_or(|at| at + TOLD <= now) {
            context.traffic.forget_peer(&member.host.id);
        }
    }
}
