//! What a host knows about one server.

use std::net::SocketAddr;

use types::{prelude::*, routed};

use super::{
    back_off::BackOff,
    breaker::Breaker,
    list::Locality,
    load::Load,
    loaded::LoadedModels,
    pace::{Median, Pace},
    speed::{Speed, Spread},
};
use crate::{
    member::rendezvous,
    paths::Path,
    route::Index,
    streams::{self, SoftwareId},
};

/// Factor by which a server is assumed to be slower for a while after its start.
const COLD_START_SLOWDOWN: f64 = 1.6;

/// Silence of a server with a tripped breaker after which it counts as unresponsive until it
/// answers again. Its registration expires only seconds later.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// One run of a server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Id of this run.
    pub id: backend::Id,
    pub service: Index,
    /// Version of the server's software.
    pub software: SoftwareId,
    /// Whether streams that may be resumed may begin there.
    pub may_begin: bool,
    pub address: SocketAddr,
    pub locality: Locality,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server takes new requests.
    pub state: routed::State,
    /// Models and adapters that the server has loaded.
    pub models: LoadedModels,
    /// Requests and memory in use, of this host and of others.
    pub load: Load,
    /// Slowness beyond what [`speed`](Self::speed) explains, and failure rate.
    pub pace: Pace,
    /// How long work takes there now.
    pub speed: Speed,
    /// Whether the server names a rate limit.
    pub is_limited: bool,
    /// Circuit breaker of this host for the server.
    pub breaker: Breaker,
    /// Time for which the server wants no requests from this host.
    pub back_off: BackOff,
    /// Number of hosts that come before this one in using the server beyond an equal part; `None` if
    /// unknown.
    pub rank: Option<u32>,
    /// When the server was first registered.
    pub registered_at: Moment,
    /// When the server last rejected a request of this host as full.
    pub rejected_at: Option<Moment>,
    /// How this host reaches the server.
    pub path: Path,
    /// When the server last sent any response to this host.
    pub answered_at: Moment,
    /// Requests whose response has become overdue since [`answered_at`](Self::answered_at).
    pub unanswered: u32,
    started_at: routed::StartTime,
    /// A number from 0 to 1, the same on all hosts.
    pub draw: f64,
    cold_until: Moment,
}

impl Server {
    pub fn new(
        registration: &routed::Server,
        service: Index,
        locality: Locality,
        now: Moment,
    ) -> Server {
        Server {
            id: registration.id.clone(),
            service,
            software: software(registration),
            may_begin: true,
            address: registration.address,
            locality,
            slots: registration.slots.max(1),
            state: registration.state,
            models: LoadedModels::default(),
            load: Load::default(),
            pace: Pace::default(),
            speed: Speed::default(),
            is_limited: false,
            breaker: Breaker::default(),
            back_off: BackOff::default(),
            rank: None,
            registered_at: now,
            rejected_at: None,
            path: Path::Direct,
            answered_at: now,
            unanswered: 0,
            started_at: registration.started_at,
            draw: draw(&registration.id),
            cold_until: now.saturating_add(registration.cold),
        }
    }

    /// Applies a newer registration. A late registration does not take a server out of draining.
    pub fn update(&mut self, registration: &routed::Server) {
        if self.started_at != registration.started_at {
            self.started_at = registration.started_at;
            self.speed = Speed::default();
        }
        self.software = software(registration);
        self.address = registration.address;
        self.slots = registration.slots.max(1);
        if registration.state == routed::State::Draining {
            self.state = registration.state;
        }
    }

    /// Whether the server takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.state == routed::State::Draining
    }

    /// Records that any response was received from the server.
    pub fn mark_answered(&mut self, now: Moment) {
        self.answered_at = now;
        self.unanswered = 0;
    }

    /// Whether the breaker was tripped by missing responses and nothing was received for
    /// [`UNRESPONSIVE_AFTER`].
    pub fn is_unresponsive(&self, now: Moment) -> bool {
        self.breaker.is_unreachable() && self.answered_at + UNRESPONSIVE_AFTER <= now
    }

    /// Whether the server is so much worse than the others of its service that its breaker is to be
    /// tripped. One that was always slow is not.
    pub fn is_outlier(&self, median: &Median, spread: &Spread) -> bool {
        self.pace.is_outlier(median, self.speed.usual_excess(spread))
    }

    /// Whether the server has just started and is still slow because of that.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Factor by which the server is assumed to be slower because it has just started.
    pub fn cold_start_slowdown(&self, now: Moment) -> f64 {
        if self.is_cold(now) { COLD_START_SLOWDOWN } else { 1.0 }
    }
}

fn software(registration: &routed::Server) -> SoftwareId {
    streams::software_id(&registration.service, &registration.software)
}

fn draw(id: &backend::Id) -> f64 {
    (rendezvous::score(b"reserve", id) >> 32) as f64 / f64::from(u32::MAX)
}
