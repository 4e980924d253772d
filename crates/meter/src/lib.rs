//! Counts the bytes of the connections that a host opens or accepts.
//!
//! Users are guaranteed an upper bound on the control traffic of a host. Bytes are therefore
//! counted on the connections, headers included, and not estimated from the size of messages.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tower::Service;

/// Counts of the bytes received and sent on all metered connections; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Meter {
    /// Wraps an accepted connection so that this meter counts its bytes.
    pub fn wrap(&self, stream: TcpStream) -> MeteredStream {
        MeteredStream { stream, meter: self.clone() }
    }

    /// Returns the bytes received on all connections, closed ones included.
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent on all connections, closed ones included.
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }
}

/// Opens connections whose bytes a meter counts.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: HttpConnector,
    meter: Meter,
}

impl Connector {
    /// Creates a connector for plain TCP; connecting fails after `timeout`.
    pub fn new(meter: Meter, timeout: Duration) -> Connector {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(timeout));
        Connector { inner, meter }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<MeteredStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.inner.call(uri);
        let meter = self.meter.clone();
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredStream { stream, meter }))
        })
    }
}

/// A TCP connection whose bytes a meter counts.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Meter,
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        add(&self.meter.0.received, buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        add(&self.meter.0.sent, written(&polled));
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        add(&self.meter.0.sent, written(&polled));
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn written(polled: &Poll<io::Result<usize>>) -> usize {
    match polled {
        Poll::Ready(Ok(count)) => *count,
        Poll::Ready(Err(_)) | Poll::Pending => 0,
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
