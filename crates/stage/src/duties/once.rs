//! Makes the object API calls that read and write claims of idempotency keys.

use std::sync::Arc;

use bytes::Bytes;
use objects::{Error, Version};
use policy::once::{Call, Document, Number, Read, Written};
use tokio::task::JoinSet;
use types::prelude::*;

use crate::{claims::PendingCall, context::Context};

/// Maximum sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Makes the calls forever, at most one per range at a time.
pub(super) async fn run(context: Arc<Context>) {
    let mut calls = JoinSet::new();
    loop {
        let (due, next) = context.claims.step(context.now());
        for due in due {
            calls.spawn(call(context.clone(), due));
        }
        let now = context.now();
        let sleep = next.map_or(MAX_SLEEP, |next| next.saturating_sub(now)).min(MAX_SLEEP);
        tokio::select! {
            () = context.claims.changed() => {}
            () = tokio::time::sleep(sleep) => {}
            Some(_) = calls.join_next() => {}
        }
    }
}

/// Waits until all reported outcomes are written, at most for `limit`, during a planned stop.
pub async fn flush(context: &Context, limit: Duration) {
    const POLL: Duration = Duration::from_millis(10);
    let flushed = async {
        while !context.claims.is_flushed() {
            tokio::time::sleep(POLL).await;
        }
    };
    if tokio::time::timeout(limit, flushed).await.is_err() {
        log::error!(
            host = &*context.host().id;
            "outcomes of claimed requests not written in time"
        );
    }
}

async fn call(context: Arc<Context>, PendingCall { range, call }: PendingCall) {
    let key = format!("once/{range}");
    match call {
        Call::Read => {
            let read = read(&context, &key).await;
            context.claims.read(context.now(), range, read);
        }
        Call::Create(document) => {
            let written = write(&context, range, None, &document).await;
            context.claims.wrote(context.now(), range, written);
        }
        Call::Update(version, document) => {
            let written = write(&context, range, Some(version), &document).await;
            context.claims.wrote(context.now(), range, written);
        }
    }
}

async fn read(context: &Context, key: &str) -> Read {
    match context.store.get(key).await {
        Ok(None) => Read::Absent,
        Ok(Some(object)) => match serde_json::from_slice(&object.value) {
            Ok(document) => Read::Found(object.version, document),
            Err(error) => {
                log::error!(key = key; "claims can't be read: {error}");
                Read::Failed
            }
        },
        Err(error) => {
            log::warn!(key = key; "claims can't be read: {error}");
            Read::Failed
        }
    }
}

async fn write(
    context: &Context,
    range: Number,
    version: Option<Version>,
    document: &Document,
) -> Written {
    let key = format!("once/{range}");
    let value = match serde_json::to_vec(document) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            log::error!(key = key.as_str(); "claims can't be written: {error}");
            return Written::Failed;
        }
    };
    let written = match version {
        Some(version) => context.store.update(&key, version, value).await,
        None => context.store.create(&key, value).await,
    };
    match written {
        Ok(version) => Written::Done(version),
        Err(Error::Conflict { .. }) => Written::Conflict,
        Err(error) => {
            log::warn!(key = key.as_str(); "claims possibly not written: {error}");
            Written::Failed
        }
    }
}
