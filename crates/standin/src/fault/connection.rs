//! One connection through the proxy: two pumps and what stops them.

use std::sync::{Arc, Mutex, PoisonError, atomic::Ordering};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_netem::io::NetEmWriteExt;

use super::{Direction, Fault, Interception, Interceptor, Setting, Shared, reset};

/// Most bytes read at a time.
const MAX_CHUNK: usize = 16 * 1024;

/// Most pieces on their way in one direction.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// What a pump reads, and when it is due at the other end.
struct Item {
    due: Instant,
    event: Event,
}

/// What one end does.
enum Event {
    Data(Vec<u8>),
    /// It closed its direction.
    Closed,
    /// It reset the connection or broke.
    Broken,
}

/// Why a pump stopped before both ends had closed.
struct Reset;

/// One connection.
pub(super) struct Connection {
    shared: Arc<Shared>,
    resets: watch::Receiver<u64>,
    /// The interceptor that waits for this connection's answer.
    pending_answer: Mutex<Option<Interceptor>>,
}

impl Connection {
    pub(super) fn new(shared: Arc<Shared>) -> Connection {
        let resets = shared.resets.subscribe();
        Connection { shared, resets, pending_answer: Mutex::new(None) }
    }

    /// Carries bytes until both ends have closed, one breaks, or a fault resets it.
    pub(super) async fn run(self, mut client: TcpStream) {
        let mut resets = self.resets.clone();
        let target = *self.shared.target.borrow();
        let Ok(mut target_stream) = TcpStream::connect(target).await else {
            reset(&client);
            return;
        };
        // Without this, small pieces would wait for acknowledgements and look like a fault.
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
        let read = read(from, settings.clone(), sender);
        let write = self.write(direction, to, settings, receiver);
        tokio::try_join!(read, write).map(|_| ())
    }

    async fn write(
        &self,
        direction: Direction,
        mut to: impl AsyncWriteExt + Unpin,
        mut settings: watch::Receiver<Setting>,
        mut items: mpsc::Receiver<Item>,
    ) -> Result<(), Reset> {
        let mut state = FaultState { passed: 0, change: settings.borrow().change };
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
                // The other pump reads that this end broke, and tells the other end by its own way.
                return Ok(());
            }
            state.reset_if_spent(&settings)?;
        }
        Ok(())
    }

    /// Lets the traps have a look at a chunk.
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

/// Applies the fault in force to one direction of one connection.
struct FaultState {
    /// Bytes passed since the fault in force was set; counted only for [`Fault::ResetAfter`].
    passed: u64,
    /// The change that set it.
    change: u64,
}

impl FaultState {
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

    /// Resets as soon as the last byte allowed has passed, without waiting for one more.
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

/// Reads pieces and stamps each with the time that it is due.
async fn read(
    mut from: impl AsyncReadExt + Unpin,
    settings: watch::Receiver<Setting>,
    items: mpsc::Sender<Item>,
) -> Result<(), Reset> {
    loop {
        let mut chunk = vec![0; MAX_CHUNK];
        let event = match from.read(&mut chunk).await {
            Ok(0) => Event::Closed,
            Ok(length) => {
                chunk.truncate(length);
                Event::Data(chunk)
            }
            Err(_) => Event::Broken,
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
        Fault::Pass | Fault::Hold | Fault::Discard | Fault::ResetAfter(_) => Instant::now(),
    }
}
