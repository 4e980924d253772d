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
const PIECE: usize = 16 * 1024;

/// Most pieces on their way in one direction.
const PIECES: usize = 1024;

/// What a pump reads, and when it is due at the other end.
struct Item {
    due: Instant,
    news: News,
}

/// What one end does.
enum News {
    Piece(Vec<u8>),
    /// It closed its direction.
    End,
    /// It reset the connection or broke.
    Broken,
}

/// Why a pump stopped before both ends had closed.
struct Reset;

/// One connection.
pub(super) struct Connection {
    shared: Arc<Shared>,
    cuts: watch::Receiver<u64>,
    /// The trap that waits for this connection's answer.
    answer: Mutex<Option<Interceptor>>,
}

impl Connection {
    pub(super) fn new(shared: Arc<Shared>) -> Connection {
        let cuts = shared.cuts.subscribe();
        Connection { shared, cuts, answer: Mutex::new(None) }
    }

    /// Carries bytes until both ends have closed, one breaks, or a fault resets it.
    pub(super) async fn run(self, mut near: TcpStream) {
        let mut cuts = self.cuts.clone();
        let target = *self.shared.target.borrow();
        let Ok(mut far) = TcpStream::connect(target).await else {
            reset(&near);
            return;
        };
        // Without this, small pieces would wait for acknowledgements and look like a fault.
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let ended = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            let both = async {
                tokio::try_join!(
                    self.pump(Direction::ToTarget, near_read, far_write),
                    self.pump(Direction::ToClient, far_read, near_write),
                )
            };
            tokio::select! {
                ended = both => ended.map(|_| ()),
                _ = cuts.changed() => Err(Reset),
            }
        };
        if let Err(Reset) = ended {
            reset(&near);
            reset(&far);
        }
    }

    async fn pump(
        &self,
        way: Direction,
        from: impl AsyncReadExt + Unpin,
        to: impl AsyncWriteExt + Unpin,
    ) -> Result<(), Reset> {
        let (sender, receiver) = mpsc::channel(PIECES);
        let settings = self.shared.setting(way).subscribe();
        let to = to.slice_writes_dyn(Arc::clone(&self.shared.slice));
        let read = read(from, settings.clone(), sender);
        let write = self.write(way, to, settings, receiver);
        tokio::try_join!(read, write).map(|_| ())
    }

    async fn write(
        &self,
        way: Direction,
        mut to: impl AsyncWriteExt + Unpin,
        mut settings: watch::Receiver<Setting>,
        mut items: mpsc::Receiver<Item>,
    ) -> Result<(), Reset> {
        let mut gate = Gate { passed: 0, change: settings.borrow().change };
        while let Some(item) = items.recv().await {
            tokio::time::sleep_until(item.due).await;
            if let News::Piece(piece) = &item.news {
                self.strike(way, piece).await?;
            }
            let written = match gate.pass(&mut settings, item.news).await? {
                News::Piece(piece) => {
                    self.shared.bytes(way).fetch_add(piece.len() as u64, Ordering::Relaxed);
                    to.write_all(&piece).await
                }
                News::End => to.shutdown().await,
                News::Broken => return Err(Reset),
            };
            if written.is_err() {
                // The other pump reads that this end broke, and tells the other end by its own way.
                return Ok(());
            }
            gate.cut_if_spent(&settings)?;
        }
        Ok(())
    }

    /// Lets the traps have a look at a piece.
    async fn strike(&self, way: Direction, piece: &[u8]) -> Result<(), Reset> {
        match way {
            Direction::ToTarget => self.strike_request(piece).await,
            Direction::ToClient => self.strike_answer().await,
        }
    }

    async fn strike_request(&self, piece: &[u8]) -> Result<(), Reset> {
        let Some(trap) = self.shared.traps.catch(piece) else { return Ok(()) };
        match trap.strike() {
            Interception::LoseRequest => {
                trap.spring();
                Err(Reset)
            }
            Interception::HoldRequest => {
                trap.spring();
                trap.released().await;
                Ok(())
            }
            Interception::LoseAnswer | Interception::HoldAnswer => {
                *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(trap);
                Ok(())
            }
        }
    }

    async fn strike_answer(&self) -> Result<(), Reset> {
        let waiting = self.answer.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(trap) = waiting else { return Ok(()) };
        trap.spring();
        match trap.strike() {
            Interception::LoseAnswer => Err(Reset),
            Interception::HoldAnswer => {
                trap.released().await;
                Ok(())
            }
            Interception::LoseRequest | Interception::HoldRequest => Ok(()),
        }
    }
}

/// Applies the fault in force to one direction of one connection.
struct Gate {
    /// Bytes passed since the fault in force was set; counted only for [`Fault::ResetAfter`].
    passed: u64,
    /// The change that set it.
    change: u64,
}

impl Gate {
    async fn pass(
        &mut self,
        settings: &mut watch::Receiver<Setting>,
        news: News,
    ) -> Result<News, Reset> {
        loop {
            let setting = *settings.borrow_and_update();
            self.follow(setting);
            match setting.fault {
                Fault::Pass | Fault::Delay(_) => return Ok(news),
                Fault::ResetAfter(limit) => return self.part(news, limit),
                Fault::Hold => settings.changed().await.map_err(|_| Reset)?,
                Fault::Discard => {
                    settings.changed().await.map_err(|_| Reset)?;
                    return Err(Reset);
                }
            }
        }
    }

    fn follow(&mut self, setting: Setting) {
        if self.change != setting.change {
            self.change = setting.change;
            self.passed = 0;
        }
    }

    fn part(&mut self, news: News, limit: u64) -> Result<News, Reset> {
        let News::Piece(mut piece) = news else { return Ok(news) };
        let left = usize::try_from(limit - self.passed).unwrap_or(usize::MAX);
        if left == 0 {
            return Err(Reset);
        }
        piece.truncate(left);
        self.passed += piece.len() as u64;
        Ok(News::Piece(piece))
    }

    /// Resets as soon as the last byte allowed has passed, without waiting for one more.
    fn cut_if_spent(&mut self, settings: &watch::Receiver<Setting>) -> Result<(), Reset> {
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
        let mut piece = vec![0; PIECE];
        let news = match from.read(&mut piece).await {
            Ok(0) => News::End,
            Ok(length) => {
                piece.truncate(length);
                News::Piece(piece)
            }
            Err(_) => News::Broken,
        };
        let last = !matches!(news, News::Piece(_));
        let item = Item { due: due(&settings), news };
        if items.send(item).await.is_err() || last {
            return Ok(());
        }
    }
}

fn due(settings: &watch::Receiver<Setting>) -> Instant {
    match settings.borrow().fault {
        Fault::Delay(delay) => Instant::now() + delay,
        Fault::Pass | Fault::Hold | Fault::Discard | Fault::ResetAfter(_) => Instant::now(),
    }
}
