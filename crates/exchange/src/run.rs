//! The task that receives and sends datagrams.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use policy::fleet::{Envelope, Fleet, Snapshot};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};
use tokio_util::sync::CancellationToken;
use types::time::Moment;

use crate::{clock::Clock, inbox::Inbox};

/// Size of the receive buffer, larger than the longest valid datagram, so that longer ones can be
/// recognized.
const BUFFER_BYTES: usize = 2_048;

/// Maximum number of datagrams that are read before the task sends again.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;

/// Maximum age at which a snapshot is returned again instead of a new one; far below the time
/// between digests.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(20);

/// Delay before the task goes on after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// State shared by the task and the users of an exchange.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    /// Wakes the task to send what the fleet has queued.
    pub(crate) wake: Notify,
    /// Number of notices that were refused because their reader was too slow.
    pub(crate) dropped_notices: AtomicU64,
    /// Number of panics of the task.
    pub(crate) panics: AtomicU64,
    state: Mutex<State>,
}

struct State {
    fleet: Fleet,
    /// The last snapshot, and when it was made.
    snapshot: Option<(Moment, Arc<Snapshot>)>,
}

impl Shared {
    pub(crate) fn new(clock: Clock, fleet: Fleet) -> Shared {
        let state = Mutex::new(State { fleet, snapshot: None });
        Shared {
            clock,
            wake: Notify::new(),
            dropped_notices: AtomicU64::new(0),
            panics: AtomicU64::new(0),
            state,
        }
    }

    /// Calls `act` with the fleet and the present time.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Fleet, Moment) -> T) -> T {
        let now = (self.clock)();
        act(&mut self.lock().fleet, now)
    }

    /// Returns what is known of the other hosts, at most `MAX_SNAPSHOT_AGE` old.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        let now = (self.clock)();
        let mut state = self.lock();
        if let Some((made_at, snapshot)) = &state.snapshot
            && now < *made_at + MAX_SNAPSHOT_AGE
        {
            return snapshot.clone();
        }
        let snapshot = Arc::new(state.fleet.snapshot(now));
        state.snapshot = Some((now, snapshot.clone()));
        snapshot
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives, advances timers and sends until `stop` is cancelled. A panic is logged and counted, and
/// costs the datagrams that are handled at that time.
pub(crate) async fn run(
    shared: Arc<Shared>,
    socket: UdpSocket,
    reader: mpsc::Sender<Envelope>,
    stop: CancellationToken,
) {
    let mut inbox = Inbox::default();
    loop {
        let rounds = AssertUnwindSafe(run_rounds(&shared, &socket, &reader, &mut inbox, &stop));
        if rounds.catch_unwind().await.is_ok() {
            return;
        }
        log::error!("the exchange with the other hosts panicked and goes on");
        shared.panics.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

async fn run_rounds(
    shared: &Shared,
    socket: &UdpSocket,
    reader: &mpsc::Sender<Envelope>,
    inbox: &mut Inbox,
    stop: &CancellationToken,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let wait = shared.with(|fleet, now| fleet.next().saturating_sub(now));
        tokio::select! {
            () = stop.cancelled() => break,
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(shared, inbox, from, &buffer[..length]);
                    drain(shared, socket, inbox, &mut buffer);
                }
            }
            () = tokio::time::sleep(wait) => shared.with(|fleet, now| fleet.tick(now)),
            () = shared.wake.notified() => {}
            // The permit is released at once; `hand_over` takes it again.
            _ = reader.reserve(), if !inbox.is_empty() => {}
        }
        inbox.hand_over(reader);
        flush(shared, socket).await;
    }
    flush(shared, socket).await;
}

fn drain(shared: &Shared, socket: &UdpSocket, inbox: &mut Inbox, buffer: &mut [u8]) {
    for _ in 1..MAX_DATAGRAMS_PER_WAKEUP {
        let Ok((length, from)) = socket.try_recv_from(buffer) else { return };
        receive(shared, inbox, from, &buffer[..length]);
    }
}

fn receive(shared: &Shared, inbox: &mut Inbox, from: SocketAddr, bytes: &[u8]) {
    if let Err(refused) = inbox.check_room(bytes) {
        shared.dropped_notices.fetch_add(refused as u64, Ordering::Relaxed);
        return;
    }
    let received = shared.with(|fleet, now| fleet.receive(now, from, bytes));
    received.into_iter().for_each(|envelope| inbox.push(envelope));
}

async fn flush(shared: &Shared, socket: &UdpSocket) {
    for datagram in shared.with(|fleet, _| fleet.outgoing()) {
        // A datagram that can't be sent counts as lost; the fleet retransmits what must arrive.
        if let Err(error) = socket.send_to(&datagram.bytes, datagram.to).await {
            log::debug!(to:% = datagram.to; "datagram not sent: {error}");
        }
    }
}
