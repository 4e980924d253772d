//! Carries the KV cache of a prompt from an engine that lost a stream to the one that resumes it.
//!
//! An engine whose connection broke may be alive, and then its cache spares the next one the
//! reading of the prompt. It is only ever an attempt: it may take no longer than the reading would,
//! and whatever goes wrong, the stream is resumed without it.

use ::backend::wire::Cache;
use types::prelude::*;

use crate::{context::Context, filters::Call, traffic::Sent};

/// Shorter readings of a prompt are not worth two calls.
const MIN_PREFILL: Duration = Duration::from_millis(10);

/// Carries the cache over where that is cheaper than reading the prompt again.
pub(crate) async fn transfer(context: &Context, call: &Call, from: &backend::Server, to: &Sent) {
    let prefill = to.prefill(call.request.prompt_tokens);
    let Some(model) = &call.request.model else { return };
    if call.request.prefix.is_empty() || prefill < MIN_PREFILL || from.id == to.server().id {
        return;
    }
    let cache = Cache { model: model.to_string(), blocks: call.request.prefix.clone() };
    let transfer = async {
        let exported = context.backends.export(from.address, &cache).await?;
        context.backends.import(to.server().address, exported).await
    };
    match tokio::time::timeout(prefill, transfer).await {
        Ok(Ok(())) => log::debug!(request = &*call.request.id; "KV cache carried over"),
        Ok(Err(error)) => log::debug!(request = &*call.request.id; "no KV cache: {error}"),
        Err(_) => log::debug!(request = &*call.request.id; "no KV cache in time"),
    }
}
