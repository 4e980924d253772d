//! Starts a host and stops it gracefully.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::Router;
use observe::{
    Event,
    event::{self, DrainStep},
    metrics::Listener,
};
use settings::process::Process;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    callers,
    context::Context,
    duties,
    guard::{self, Guard},
    listener, operators, peers,
};

/// Maximum time that a drain waits until the outcomes of claimed requests are written.
const CLAIMS_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a host can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener's address can't be bound.
    #[error("can't bind the listener for {role} at {address}: {cause}")]
    Bind {
        /// The listener's users.
        role: &'static str,
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// A listener has an invalid token, or needs one and has none.
    #[error(transparent)]
    Guard(#[from] guard::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] observe::metrics::Error),
}

/// A running host; [`Running::drain`] stops it.
pub struct Running {
    context: Arc<Context>,
    stop_callers: CancellationToken,
    stop_peers: CancellationToken,
    stop_operators: CancellationToken,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    operators: JoinHandle<()>,
}

/// Starts a host. Port 0 in the settings means a port chosen by the system.
///
/// # Errors
///
/// Fails if a listener can't be bound or guarded, or the metrics can't be set up.
pub async fn start(mut settings: Process) -> Result<Running, Error> {
    let callers = bind("callers", &mut settings.host.callers).await?;
    let peers = bind("peers", &mut settings.host.peers).await?;
    let operators = bind("operators", &mut settings.host.operators).await?;
    let peers_guard =
        Guard::new(Listener::Peers, settings.peers_token.as_deref(), settings.host.peers)?;
    let guard = Guard::new(
        Listener::Operators,
        settings.operators_token.as_deref(),
        settings.host.operators,
    )?;
    let context = Arc::new(Context::new(settings, peers_guard.token().clone())?);
    log::info!(
        host = &*context.host().id, callers:% = context.host().callers,
        peers:% = context.host().peers, operators:% = context.host().operators; "host starts"
    );
    let stop_peers = CancellationToken::new();
    let peers = tokio::spawn(peers::listen(peers, context.clone(), stop_peers.clone()));
    duties::start(&context);
    let stop_callers = CancellationToken::new();
    let stop_operators = CancellationToken::new();
    let callers = tokio::spawn(listener::serve(
        callers,
        callers::router(context.clone()),
        context.settings.bounds.clone(),
        stop_callers.clone(),
    ));
    let operators = tokio::spawn(listen(
        operators,
        operators::router(context.clone(), guard),
        stop_operators.clone(),
    ));
    Ok(Running { context, stop_callers, stop_peers, stop_operators, callers, peers, operators })
}

impl Running {
    /// Returns the state shared by the host's parts.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops the host: reports not ready, waits for the balancer, closes the callers' listener,
    /// waits for the requests in flight and their recorded outcomes, and stops everything else.
    pub async fn drain(self) {
        let drain = self.context.settings.drain.clone();
        self.context.begin_drain();
        record(&self.context, DrainStep::NotReady);
        log::info!(host = &*self.context.host().id; "drain begins");
        let actions = self.context.peers.gossip().leave(self.context.now());
        peers::perform(&self.context, actions);
        tokio::time::sleep(drain.balancer).await;
        self.stop_callers.cancel();
        record(&self.context, DrainStep::Closed);
        if tokio::time::timeout(drain.finish, self.callers).await.is_err() {
            log::error!(host = &*self.context.host().id; "drain ends with requests in flight");
        }
        duties::once::flush(&self.context, CLAIMS_FLUSH_TIMEOUT).await;
        record(&self.context, DrainStep::Idle);
        self.context.stop.cancel();
        self.context.duties.close();
        self.context.duties.wait().await;
        self.stop_peers.cancel();
        let _ = self.peers.await;
        self.stop_operators.cancel();
        let _ = self.operators.await;
        log::info!(host = &*self.context.host().id; "host ends");
    }
}

fn record(context: &Context, drain: DrainStep) {
    context.events.record(Event::new(event::Kind::Drain { drain }));
}

async fn bind(role: &'static str, address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let wanted = *address;
    let failed = |cause| Error::Bind { role, address: wanted, cause };
    let listener = TcpListener::bind(wanted).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

async fn listen(listener: TcpListener, router: Router, stop: CancellationToken) {
    let served = axum::serve(listener, router).with_graceful_shutdown(stop.cancelled_owned());
    if let Err(error) = served.await {
        log::error!("operators' listener failed: {error}");
    }
}
