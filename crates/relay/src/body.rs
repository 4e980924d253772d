//! Receipt of complete response bodies, within bounds of memory.
//!
//! A body is copied out of the buffers of its connection, because each piece of it would keep a
//! whole buffer alive. Small bodies are received without further condition. Of larger ones only some
//! of each service are received at a time, and the others wait.

use std::{
    collections::HashMap,
    error::Error,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::dispatch::Unclear;
use tokio::sync::Semaphore;
use types::service;

/// Maximum size of a response that is buffered before delivery, in bytes. Only streams of events
/// are delivered piece by piece.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Maximum number of pieces of a body; each costs time, however small it is.
const MAX_PIECES: usize = 16 * 1024;

/// Maximum size of a small body, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Number of larger bodies of each service that are received at a time.
const LARGE_BODIES: usize = 16;

/// Permits to receive larger bodies.
#[derive(Debug, Default)]
pub(crate) struct LargeBodies(Mutex<HashMap<service::Id, Arc<Semaphore>>>);

impl LargeBodies {
    fn of(&self, service: &service::Id) -> Arc<Semaphore> {
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let permits = || Arc::new(Semaphore::new(LARGE_BODIES));
        services.entry(service.clone()).or_insert_with(permits).clone()
    }

    /// Receives the rest of a response's body.
    ///
    /// # Errors
    ///
    /// The body is too large or invalid, or the connection failed.
    pub(crate) async fn receive(
        &self,
        service: &service::Id,
        body: &mut Incoming,
    ) -> Result<Bytes, Unclear> {
        if body.size_hint().exact().is_some_and(|length| (MAX_BODY_BYTES as u64) < length) {
            return Err(Unclear::Endless);
        }
        let Some(first) = next(body).await? else { return Ok(Bytes::new()) };
        if body.is_end_stream() {
            return Ok(first);
        }
        let mut received = BytesMut::from(&*first);
        drop(first);
        let mut permit = None;
        let mut pieces = 1;
        while let Some(data) = next(body).await? {
            let length = received.len() + data.len();
            pieces += 1;
            if MAX_BODY_BYTES < length || MAX_PIECES < pieces {
                return Err(Unclear::Endless);
            }
            if SMALL_BODY_BYTES < length && permit.is_none() {
                permit = self.of(service).acquire_owned().await.ok();
            }
            received.extend_from_slice(&data);
        }
        Ok(received.freeze())
    }
}

/// Returns the next data of a body; `None` at its end.
async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Unclear> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failure(&error))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Returns why a body is incomplete. An invalid one is no sign of a crash of its server.
pub(crate) fn failure(error: &hyper::Error) -> Unclear {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Unclear::Garbled,
        _ => Unclear::Cut,
    }
}
