//! A socket that records whether data waits to be written, that can refuse writes, that can be
//! closed with a reset, and that bounds the heads of responses.

use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use super::guard::WriteGuard;

/// Maximum size of a response's head together with the interim responses before it, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the first byte of a response to the end of its head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared flag that is set while data waits to be written to the socket.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrite(Arc<AtomicBool>);

impl PendingWrite {
    pub(super) fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_pending: bool) {
        self.0.store(is_pending, Ordering::Relaxed);
    }
}

/// Shared flag that makes the socket close with a reset, which drops data in transit, instead of in
/// order.
#[derive(Clone, Debug, Default)]
pub(super) struct ResetOnClose(Arc<AtomicBool>);

impl ResetOnClose {
    pub(super) fn set(&self, is_reset: bool) {
        self.0.store(is_reset, Ordering::Relaxed);
    }
}

/// Shared state of the response's head that a connection waits for.
#[derive(Clone, Debug, Default)]
pub(super) struct AwaitedHead(Arc<HeadState>);

#[derive(Debug, Default)]
struct HeadState {
    /// Number of times that the wait has started or ended; odd while a head is awaited.
    changes: AtomicU32,
    is_endless: AtomicBool,
}

impl AwaitedHead {
    pub(super) fn start(&self) {
        self.0.is_endless.store(false, Ordering::Relaxed);
        self.0.changes.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end(&self) {
        self.0.changes.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn is_endless(&self) -> bool {
        self.0.is_endless.load(Ordering::Relaxed)
    }
}

/// Checks the part of a response's head that has been received.
#[derive(Debug, Default)]
struct HeadBound {
    awaited: AwaitedHead,
    /// Value of `changes` that the other fields belong to.
    changes: u32,
    received: usize,
    /// `None` until some bytes have been received, but not the complete head.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl HeadBound {
    /// Returns whether a head is awaited.
    fn is_awaited(&mut self) -> bool {
        let changes = self.awaited.0.changes.load(Ordering::Relaxed);
        if self.changes != changes {
            (self.changes, self.received, self.timeout) = (changes, 0, None);
        }
        changes % 2 == 1
    }

    fn receive(&mut self, bytes: usize) -> io::Result<()> {
        self.received += bytes;
        if self.received <= MAX_HEAD_BYTES { Ok(()) } else { Err(self.fail()) }
    }

    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.received == 0 {
            return Poll::Pending;
        }
        let timeout = self.timeout.get_or_insert_with(|| Box::pin(sleep(HEAD_TIMEOUT)));
        ready!(timeout.as_mut().poll(context));
        Poll::Ready(self.fail())
    }

    fn fail(&self) -> io::Error {
        self.awaited.0.is_endless.store(true, Ordering::Relaxed);
        io::Error::new(io::ErrorKind::InvalidData, "the head of the response does not end")
    }
}

/// Shared slot for the guard of the request that is being written.
#[derive(Clone, Debug, Default)]
pub(super) struct GuardSlot(Arc<ArcSwapOption<WriteGuard>>);

impl GuardSlot {
    pub(super) fn set(&self, guard: Option<Arc<WriteGuard>>) {
        self.0.store(guard);
    }

    /// Writes to the socket if the guard permits it.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let guard = self.0.load();
        let Some(guard) = guard.as_ref() else { return write() };
        guard.check()?;
        let written = write();
        if matches!(written, Poll::Ready(Ok(1..))) {
            guard.written();
        }
        written
    }
}

/// Handles to the state that a [`Wire`] shares with its connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Controls {
    pub(super) pending_write: PendingWrite,
    pub(super) reset_on_close: ResetOnClose,
    pub(super) guard: GuardSlot,
    pub(super) awaited_head: AwaitedHead,
}

/// A TCP stream with its [`Controls`]. The pending-write flag relies
/// on hyper flushing the stream only when its own buffers are empty.
pub(super) struct Wire {
    stream: TcpStream,
    controls: Controls,
    head: HeadBound,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> (Wire, Controls) {
        let controls = Controls::default();
        let head = HeadBound { awaited: controls.awaited_head.clone(), ..HeadBound::default() };
        (Wire { stream, controls: controls.clone(), head }, controls)
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        if self.controls.reset_on_close.0.load(Ordering::Relaxed) {
            // This fails only if the socket is closed already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = self.get_mut();
        if !wire.head.is_awaited() {
            return Pin::new(&mut wire.stream).poll_read(context, buffer);
        }
        let before = buffer.filled().len();
        // What has arrived is read first, since this process may not have been scheduled.
        match Pin::new(&mut wire.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => Poll::Ready(wire.head.receive(buffer.filled().len() - before)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => wire.head.poll_timeout(context).map(Err),
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wire = self.get_mut();
        wire.controls.pending_write.set(true);
        let stream = Pin::new(&mut wire.stream);
        wire.controls.guard.write(|| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wire = self.get_mut();
        wire.controls.pending_write.set(true);
        let stream = Pin::new(&mut wire.stream);
        wire.controls.guard.write(|| stream.poll_write_vectored(context, parts))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let wire = self.get_mut();
        wire.controls.pending_write.set(false);
        Pin::new(&mut wire.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
