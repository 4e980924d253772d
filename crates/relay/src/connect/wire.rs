//! A socket that records whether data waits to be written, that can refuse writes, and that can be
//! closed with a reset.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use arc_swap::ArcSwapOption;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::guard::WriteGuard;

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

/// Shared slot for the guard of the request that is being written.
#[derive(Clone, Debug, Default)]
pub(super) struct GuardSlot(Arc<ArcSwapOption<WriteGuard>>);

impl GuardSlot {
    pub(super) fn set(&self, guard: Option<Arc<WriteGuard>>) {
        self.0.store(guard);
    }

    fn check(&self) -> io::Result<()> {
        self.0.load().as_ref().map_or(Ok(()), |guard| guard.check())
    }
}

/// Handles to the state that a [`Wire`] shares with its connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Controls {
    pub(super) pending_write: PendingWrite,
    pub(super) reset_on_close: ResetOnClose,
    pub(super) guard: GuardSlot,
}

/// A TCP stream with its [`Controls`]. The pending-write flag relies
/// on hyper flushing the stream only when its own buffers are empty.
pub(super) struct Wire {
    stream: TcpStream,
    controls: Controls,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> (Wire, Controls) {
        let controls = Controls::default();
        (Wire { stream, controls: controls.clone() }, controls)
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
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
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
        wire.controls.guard.check()?;
        Pin::new(&mut wire.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wire = self.get_mut();
        wire.controls.pending_write.set(true);
        wire.controls.guard.check()?;
        Pin::new(&mut wire.stream).poll_write_vectored(context, parts)
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
