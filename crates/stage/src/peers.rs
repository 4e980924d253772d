//! The other hosts: what is known of them, the calls to them, and the listener for theirs.
//!
//! The decisions are `policy::member`'s. Here its core stands behind one lock, its actions become
//! calls, and what the calls bring goes back in.

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

/// Beats are so much rarer in a large fleet.
const LARGE_FLEET_INTERVAL_FACTOR: u32 = 2;

/// The other hosts.
#[derive(Debug)]
pub struct Peers {
    gossip: Mutex<Gossip>,
    client: ::peer::Client,
    token: ::peer::Token,
    meter: Meter,
    refused: Arc<AtomicU64>,
}

impl Peers {
    /// Knows nobody yet.
    pub fn new(settings: &Process, incarnation: host::Incarnation, token: ::peer::Token) -> Peers {
        let heartbeat = settings.intervals.heartbeat;
        let rules = member::Settings {
            interval: heartbeat,
            wide_interval: heartbeat * LARGE_FLEET_INTERVAL_FACTOR,
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

    /// The membership core.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// What the other hosts are taken for.
    pub fn standings(&self) -> BTreeMap<host::Id, Standing> {
        let gossip = self.gossip();
        let members = gossip.hosts().iter();
        members.map(|member| (member.host.id.clone(), member.standing())).collect()
    }

    /// Calls to other hosts.
    pub fn client(&self) -> &::peer::Client {
        &self.client
    }

    /// Bytes to and from other hosts, both ways round.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Calls refused for their token so far.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Carries out what the core asks for, in tasks of their own.
pub fn perform(context: &Arc<Context>, actions: Vec<Action>) {
    for action in actions {
        let context = context.clone();
        match action {
            Action::Send { to, heartbeat } => spawn(send(context, to, heartbeat)),
            Action::Probe { via, target } => spawn(probe(context, via, target)),
            Action::Fetch { from, topic: Topic::Config, .. } => spawn(fetch(context, from)),
            // Nobody holds a quarantine here yet, so nobody asks for one.
            Action::Fetch { topic: Topic::Quarantine, .. } => {}
            Action::Superseded => stop_superseded(&context),
        }
    }
}

/// Takes in what a heartbeat says of its sender's work.
fn take_in_flight(context: &Context, heartbeat: &Heartbeat) {
    let loads: Vec<(backend::Id, PeerLoad)> = heartbeat
        .in_flight
        .iter()
        .map(|InFlight(server, requests)| (server.clone(), PeerLoad { requests: *requests }))
        .collect();
    context.traffic.set_peer_load(&heartbeat.from.id, &loads);
}

/// Stamps a heartbeat that goes out, so that what its receiver does next is stamped later.
fn set_stamp(context: &Context, heartbeat: &mut Heartbeat) {
    heartbeat.stamp = context.events.clock().stamp().0;
}

/// Takes note of the stamp of a heartbeat that came in; a host that doesn't stamp sends none.
fn observe_stamp(context: &Context, heartbeat: &Heartbeat) {
    if heartbeat.stamp == 0 {
        return;
    }
    if let Err(error) = context.events.clock().see(Stamp(heartbeat.stamp)) {
        log::warn!(peer = &*heartbeat.from.id; "{error}");
    }
}

async fn send(context: Arc<Context>, to: Host, mut heartbeat: Heartbeat) {
    set_stamp(&context, &mut heartbeat);
    let answer = context.peers.client().heartbeat(to.peers, heartbeat).await;
    let now = context.now();
    let actions = match answer {
        Ok(answer) => {
            observe_stamp(&context, &answer);
            take_in_flight(&context, &answer);
            context.peers.gossip().answer(now, &answer)
        }
        Err(error) => {
            log::debug!("heartbeat: {error}");
            context.peers.gossip().silence(now, &to.id)
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
        log::debug!("configuration from a peer: {error}");
        let actions = context.peers.gossip().fetch_failed(context.now(), Topic::Config);
        perform(&context, actions);
    }
}

/// Why a configuration could not be had from a peer.
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
    if !context.stop_asked.is_cancelled() {
        log::error!(host = &*context.host().id; "a later run of this host is about; this one stops");
        context.stop_asked.cancel();
    }
}

fn spawn(call: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(call);
}
