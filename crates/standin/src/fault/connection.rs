//! One connection through the proxy: forwards both directions until they end or a fault resets it.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_netem::io::NetEmWriteExt;

use super::{Direction, Fault, Interception, Interceptor, Setting, Shared, reset};

/// Maximum number of bytes read at a time.
const MAX_CHUNK: usize = 16 * 1024;

/// Maximum number of chunks queued in one direction.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// An event of one end, and when it is due at the other end.
struct Item {
    due: Instant,
    event: Event,
}

/// What was read from one end.
enum Event {
    Data(Vec<u8>),
    /// The end closed its direction of the connection.
    Closed,
    /// The end reset the connection, or reading failed.
    Broken,
}

/// Reason to stop forwarding before both ends have closed: the connection is to be reset.
struct Reset;

/// A connection of a client to the target.
pub(super) struct Connection {
    shared: Arc<Shared>,
    resets: watch::Receiver<u64>,
    /// Interceptor that has matched a request and waits for its answer.
    pending_answer: Mutex<Option<Interceptor>>,
}

impl Connection {
    pub(super) fn new(shared: Arc<Shared>) -> Connection {
        let resets = shared.resets.subscribe();
        Connection { shared, resets, pending_answer: Mutex::new(None) }
    }

    /// Forwards bytes until both ends have closed, one end breaks, or a fault resets the
    /// connection.
    pub(super) async fn run(self, mut client: TcpStream) {
        let mut resets = self.resets.clone();
        let target = *self.shared.target.borrow();
        let Ok(mut target_stream) = TcpStream::connect(target).await else {
            reset(&client);
            return;
        };
        // Without this, small chunks would wait for acknowledgements, which looks like a fault.
        let _ = client.set_nodelay(true);
        let _ = target_stream.set_nodelay(true);
        let ended = {
            let (client_read, client_write) = client.split();
            let (target_read, target_write) = target_stream.split();
            let both = async {
                tokio::try_join!(
                    self.forward(Direction::ToTarget, client_read, target_write),
                    self.forward(Direction::ToClient, target_read, client_write),
                )
            };
            tokio::select! {
                ended = both => ended.map(|_| ()),
                _ = resets.changed() => Err(Reset),
            }
        };
        if let Err(Reset) = ended {
            reset(&client);
            reset(&target_stream);
        }
    }

    async fn forward(
        &self,
        direction: Direction,
        from: impl AsyncReadExt + Unpin,
        to: impl AsyncWriteExt + Unpin,
    ) -> Result<(), Reset> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let settings = self.shared.setting(direction).subscribe();
        let to = to.slice_writes_dyn(Arc::clone(&self.shared.max_write));
        let is_broken = AtomicBool::new(false);
        let read = read(from, settings.clone(), sender, &is_broken);
        let write = self.write(direction, to, settings, receiver, &is_broken);
        tokio::try_join!(read, write).map(|_| ())
    }

    async fn write(
        &self,
        direction: Direction,
        mut to: impl AsyncWriteExt + Unpin,
        mut settings: watch::Receiver<Setting>,
        mut items: mpsc::Receiver<Item>,
        is_broken: &AtomicBool,
    ) -> Result<(), Reset> {
        let mut state = FaultState { passed: 0, change: settings.borrow().change, is_broken };
        while let Some(item) = items.recv().await {
            tokio::time::sleep_until(item.due).await;
            if let Event::Data(chunk) = &item.event {
                self.intercept(direction, chunk).await?;
            }
            let written = match state.apply(&mut settings, item.event).await? {
                Event::Data(chunk) => {
                    self.shared.bytes(direction).fetch_add(chunk.len() as u64, Ordering::Relaxed);
                    to.write_all(&chunk).await
                }
                Event::Closed => to.shutdown().await,
                Event::Broken => return Err(Reset),
            };
            if written.is_err() {
                // The opposite direction reads that this end is broken, and applies its own fault
                // before it resets the other end.
                return Ok(());
            }
            state.reset_if_spent(&settings)?;
        }
        Ok(())
    }

    /// Applies interceptors to a chunk.
    async fn intercept(&self, direction: Direction, chunk: &[u8]) -> Result<(), Reset> {
        match direction {
            Direction::ToTarget => self.intercept_request(chunk).await,
            Direction::ToClient => self.intercept_answer().await,
        }
    }

    async fn intercept_request(&self, chunk: &[u8]) -> Result<(), Reset> {
        let Some(interceptor) = self.shared.interceptors.take_match(chunk) else { return Ok(()) };
        match interceptor.interception() {
            Interception::LoseRequest => {
                interceptor.trigger();
                Err(Reset)
            }
            Interception::HoldRequest => {
                interceptor.trigger();
                interceptor.released().await;
                Ok(())
            }
            Interception::LoseAnswer | Interception::HoldAnswer => {
                *self.pending_answer.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(interceptor);
                Ok(())
            }
        }
    }

    async fn intercept_answer(&self) -> Result<(), Reset> {
        let pending = self.pending_answer.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(interceptor) = pending else { return Ok(()) };
        interceptor.trigger();
        match interceptor.interception() {
            Interception::LoseAnswer => Err(Reset),
            Interception::HoldAnswer => {
                interceptor.released().await;
                Ok(())
            }
            Interception::LoseRequest | Interception::HoldRequest => Ok(()),
        }
    }
}

/// Applies the current fault to one direction of one connection.
struct FaultState<'a> {
    /// Bytes forwarded since the current fault was set. Counted only for [`Fault::ResetAfter`].
    passed: u64,
    /// Number of the change that set the current fault.
    change: u64,
    /// Whether the sending end has reset the connection.
    is_broken: &'a AtomicBool,
}

impl FaultState<'_> {
    async fn apply(
        &mut self,
        settings: &mut watch::Receiver<Setting>,
        event: Event,
    ) -> Result<Event, Reset> {
        loop {
            let setting = *settings.borrow_and_update();
            self.update(setting);
            match setting.fault {
                Fault::Pass | Fault::Delay(_) => return Ok(event),
                Fault::ResetAfter(limit) => return self.limit_bytes(event, limit),
                Fault::Hold => settings.changed().await.map_err(|_| Reset)?,
                Fault::Partition => {
                    settings.changed().await.map_err(|_| Reset)?;
                    if self.is_broken.load(Ordering::Relaxed) {
                        return Err(Reset);
                    }
                }
                Fault::Discard => {
                    settings.changed().await.map_err(|_| Reset)?;
                    return Err(Reset);
                }
            }
        }
    }

    fn update(&mut self, setting: Setting) {
        if self.change != setting.change {
            self.change = setting.change;
            self.passed = 0;
        }
    }

    fn limit_bytes(&mut self, event: Event, limit: u64) -> Result<Event, Reset> {
        let Event::Data(mut chunk) = event else { return Ok(event) };
        let left = usize::try_from(limit - self.passed).unwrap_or(usize::MAX);
        if left == 0 {
            return Err(Reset);
        }
        chunk.truncate(left);
        self.passed += chunk.len() as u64;
        Ok(Event::Data(chunk))
    }

    /// Resets as soon as the last allowed byte has been forwarded, without waiting for the next
    /// one.
    fn reset_if_spent(&mut self, settings: &watch::Receiver<Setting>) -> Result<(), Reset> {
        let setting = *settings.borrow();
        match setting.fault {
            Fault::ResetAfter(limit) if self.change == setting.change && limit <= self.passed => {
                Err(Reset)
            }
            _ => Ok(()),
        }
    }
}

/// Reads chunks and queues each with the time at which it is due.
async fn read(
    mut from: impl AsyncReadExt + Unpin,
    settings: watch::Receiver<Setting>,
    items: mpsc::Sender<Item>,
    is_broken: &AtomicBool,
) -> Result<(), Reset> {
    loop {
        let mut chunk = vec![0; MAX_CHUNK];
        let event = match from.read(&mut chunk).await {
            Ok(0) => Event::Closed,
            Ok(length) => {
                chunk.truncate(length);
                Event::Data(chunk)
            }
            Err(_) => {
                is_broken.store(true, Ordering::Relaxed);
                Event::Broken
            }
        };
        let is_last = !matches!(event, Event::Data(_));
        let item = Item { due: due_time(&settings), event };
        if items.send(item).await.is_err() || is_last {
            return Ok(());
        }
    }
}

fn due_time(settings: &watch::Receiver<Setting>) -> Instant {
    match settings.borrow().fault {
        Fault::Delay(delay) => Instant::now() + delay,
        Fault::Pass | Fault::Hold | Fault::Partition | Fault::Discard | Fault::ResetAfter(_) => {
            Instant::now()
        }
    }
}
