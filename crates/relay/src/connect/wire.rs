//! A socket that tells whether something waits to be written to it, and that may end with a reset.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether something waits to be written.
#[derive(Clone, Debug, Default)]
pub(super) struct Unwritten(Arc<AtomicBool>);

impl Unwritten {
    pub(super) fn is_some(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_some: bool) {
        self.0.store(is_some, Ordering::Relaxed);
    }
}

/// How a socket ends: in order, or with a reset that takes what is still held up on the way with it.
#[derive(Clone, Debug, Default)]
pub(super) struct Abrupt(Arc<AtomicBool>);

impl Abrupt {
    pub(super) fn set(&self, is_abrupt: bool) {
        self.0.store(is_abrupt, Ordering::Relaxed);
    }
}

/// A socket. Its writer flushes it only when its own buffers are empty, which is what this rests on.
pub(super) struct Wire {
    stream: TcpStream,
    unwritten: Unwritten,
    abrupt: Abrupt,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> (Wire, Unwritten, Abrupt) {
        let (unwritten, abrupt) = (Unwritten::default(), Abrupt::default());
        let wire = Wire { stream, unwritten: unwritten.clone(), abrupt: abrupt.clone() };
        (wire, unwritten, abrupt)
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        if self.abrupt.0.load(Ordering::Relaxed) {
            // A socket that is gone already needs none.
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
        wire.unwritten.set(true);
        Pin::new(&mut wire.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wire = self.get_mut();
        wire.unwritten.set(true);
        Pin::new(&mut wire.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let wire = self.get_mut();
        wire.unwritten.set(false);
        Pin::new(&mut wire.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
