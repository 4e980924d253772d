//! A caller's socket, which records how long what is read may have waited in it.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::host::Shared;

/// Longest time for which data that was read since the last write may have waited, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Delay(Arc<AtomicU64>);

impl Delay {
    /// Returns the delay of the request that has been read, and resets it for the next one.
    pub(super) fn take(&self) -> Duration {
        Duration::from_nanos(self.0.swap(0, Ordering::Relaxed))
    }

    fn extend(&self, delay: Duration) {
        let nanos = u64::try_from(delay.as_nanos()).unwrap_or(u64::MAX);
        self.0.fetch_max(nanos, Ordering::Relaxed);
    }
}

/// A caller's TCP stream with the [`Delay`] of what it receives.
pub(super) struct Socket {
    stream: TcpStream,
    shared: Arc<Shared>,
    delay: Delay,
    /// When data was last read or written. A caller that awaits the answer to its request sends the
    /// next one after that.
    used_at: Instant,
}

impl Socket {
    /// Wraps a connection that was accepted now.
    pub(super) fn new(stream: TcpStream, shared: Arc<Shared>) -> (Socket, Delay) {
        let delay = Delay::default();
        // The connection may have waited to be accepted as well.
        let used_at = shared.heartbeat.arrival(None, Instant::now());
        (Socket { stream, shared, delay: delay.clone(), used_at }, delay)
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.used_at = Instant::now();
            // What was read of the body says nothing of the next request.
            self.delay.take();
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut socket.stream).poll_read(context, buffer))?;
        if before < buffer.filled().len() {
            let now = Instant::now();
            let arrival = socket.shared.heartbeat.arrival(Some(socket.used_at), now);
            socket.delay.extend(now.saturating_duration_since(arrival));
            socket.used_at = now;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let written = Pin::new(&mut socket.stream).poll_write(context, bytes);
        socket.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let written = Pin::new(&mut socket.stream).poll_write_vectored(context, parts);
        socket.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
