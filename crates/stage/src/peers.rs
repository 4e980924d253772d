//! The other hosts: their membership state, calls to them, and the listener for their calls.
//!
//! `policy::member` makes the decisions. Its state is behind one lock here; its actions become
//! calls, and the results of the calls are passed back in.

mod answers;
mod source;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use meter::Meter;
use observe::clock::Stamp;
use policy::{
    config::Root,
    member::{
        self, Standing,
        gossip::{Action, Gossip, Probe},
        heartbeat::{Heartbeat, InFlight, Topic},
        rendezvous,
    },
    route::estimate::PeerLoad,
};
use settings::process::Process;
use types::prelude::*;

pub(crate) use self::answers::listen;
use self::source::Peer;
use crate::{context::Context, declared};

/// Factor by which heartbeats are less frequent in a large fleet.
const LARGE_FLEET_INTERVAL_FACTOR: u32 = 2;

/// Membership state of the other hosts, and the client for calls to them.
#[derive(Debug)]
pub struct Peers {
    gossip: Mutex<Gossip>,
    client: ::peer::Client,
    token: ::peer::Token,
    meter: Meter,
    refused: Arc<AtomicU64>,
}

impl Peers {
    /// Creates the state without any known host.
    pub fn new(settings: &Process, incarnation: host::Incarnation, token: ::peer::Token) -> Peers {
        let heartbeat = settings.intervals.heartbeat;
        let rules = member::Settings {
            interval: heartbeat,
            large_fleet_interval: heartbeat * LARGE_FLEET_INTERVAL_FACTOR,
            ..member::Settings::default()
        };
        let me = settings.host.clone();
        let seed = rendezvous::score(&incarnation.to_le_bytes(), &me.id);
        let gossip = Gossip::new(Duration::ZERO, rules, seed, me, incarnation);
        let meter = Meter::default();
        let client = ::peer::Builder::new().token(token.clone()).meter(meter.clone()).build();
        let gossip = Mutex::new(gossip);
        Peers { gossip, client, token, meter, refused: Arc::default() }
    }

    /// Locks and returns the membership state.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the standing of each other host.
    pub fn standings(&self) -> BTreeMap<host::Id, Standing> {
        let gossip = self.gossip();
        let members = gossip.hosts().iter();
        members.map(|member| (member.host.id.clone(), member.standing())).collect()
    }

    /// Returns the client for calls to other hosts.
    pub fn client(&self) -> &::peer::Client {
        &self.client
    }

    /// Returns the counter of bytes sent to and received from other hosts, as client and as server.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the number of calls rejected so far because of their token.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Performs the membership actions, each call in its own task.
pub fn perform(context: &Arc<Context>, actions: Vec<Action>) {
    for action in actions {
        let context = context.clone();
        match action {
            Action::Send { to, heartbeat } => spawn(send(context, to, heartbeat)),
            Action::Probe { via, target } => spawn(probe(context, via, target)),
            Action::Fetch { from, topic: Topic::Config, .. } => spawn(fetch(context, from)),
            // No host stores quarantines here yet, so none is fetched.
            Action::Fetch { topic: Topic::Quarantine, .. } => {}
            Action::Superseded => stop_superseded(&context),
        }
    }
}

/// Applies the sender's requests in flight from a heartbeat.
fn apply_in_flight(context: &Context, heartbeat: &Heartbeat) {
    let loads: Vec<(backend::Id, PeerLoad)> = heartbeat
        .in_flight
        .iter()
        .map(|InFlight(server, requests)| (server.clone(), PeerLoad { requests: *requests }))
        .collect();
    context.traffic.set_peer_load(&heartbeat.from.id, &loads);
}

/// Sets the clock stamp of an outgoing heartbeat; the receiver's next events get later stamps.
fn set_stamp(context: &Context, heartbeat: &mut Heartbeat) {
    heartbeat.stamp = context.events.clock().stamp().0;
}

/// Advances the clock by the stamp of an incoming heartbeat; 0 means that the sender has none.
fn observe_stamp(context: &Context, heartbeat: &Heartbeat) {
    if heartbeat.stamp == 0 {
        return;
    }
    if let Err(error) = context.events.clock().observe(Stamp(heartbeat.stamp)) {
        log::warn!(peer = &*heartbeat.from.id; "clock stamp of a peer rejected: {error}");
    }
}

async fn send(context: Arc<Context>, to: Host, mut heartbeat: Heartbeat) {
    set_stamp(&context, &mut heartbeat);
    let answer = context.peers.client().heartbeat(to.peers, heartbeat).await;
    let now = context.now();
    let actions = match answer {
        Ok(answer) => {
            observe_stamp(&context, &answer);
            apply_in_flight(&context, &answer);
            context.peers.gossip().answer(now, &answer)
        }
        Err(error) => {
            log::debug!("heartbeat not answered: {error}");
            context.peers.gossip().heartbeat_failed(now, &to.id)
        }
    };
    perform(&context, actions);
}

async fn probe(context: Arc<Context>, via: Host, target: Host) {
    let outcome = context.peers.client().probe(via.peers, &target).await;
    let probe = outcome.map_or(Probe::Silent, Probe::from);
    let actions = context.peers.gossip().probed(context.now(), &target.id, probe);
    perform(&context, actions);
}

async fn fetch(context: Arc<Context>, from: Host) {
    if let Err(error) = fetch_config(&context, &from).await {
        log::debug!("configuration not fetched from a peer: {error}");
        let actions = context.peers.gossip().fetch_failed(context.now(), Topic::Config);
        perform(&context, actions);
    }
}

/// Why a configuration could not be fetched from a peer.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Peer(#[from] ::peer::Error),
    #[error(transparent)]
    Declared(#[from] declared::Error),
    #[error("root of {host} is unreadable: {cause}")]
    Root { host: host::Id, cause: serde_json::Error },
}

async fn fetch_config(context: &Context, from: &Host) -> Result<(), FetchError> {
    let above = context.config().number;
    let content = context.peers.client().fetch(from.peers, Topic::Config, above).await?;
    let root: Root = serde_json::from_str(content.value.get())
        .map_err(|cause| FetchError::Root { host: from.id.clone(), cause })?;
    let source = Peer { client: context.peers.client(), host: from, store: &*context.store };
    declared::apply_root(context, root, &source).await?;
    Ok(())
}

fn stop_superseded(context: &Context) {
    if !context.stop_requested.is_cancelled() {
        log::error!(host = &*context.host().id; "superseded by a later run of this host; stopping");
        context.stop_requested.cancel();
    }
}

fn spawn(call: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(call);
}
