//! Transfers a prompt's KV cache from an engine that lost a stream to the engine that resumes it.
//!
//! An engine whose connection broke may still be alive, and its cache then saves the next engine
//! the prefill. The transfer is best-effort: it may take no longer than the prefill would, and if
//! it fails the stream is resumed without it.

use ::backend::wire::Cache;
use types::prelude::*;

use crate::{context::Context, filters::Call, traffic::DispatchedAttempt};

/// Minimum prefill time for which a transfer is worth its two calls.
const MIN_PREFILL: Duration = Duration::from_millis(10);

/// Transfers the cache if that is cheaper than repeating the prefill.
pub(crate) async fn transfer(
    context: &Context,
    call: &Call,
    from: &backend::Server,
    to: &DispatchedAttempt,
) {
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
        Ok(Ok(())) => log::debug!(request = &*call.request.id; "KV cache transferred"),
        Ok(Err(error)) => {
            log::debug!(request = &*call.request.id; "KV cache not transferred: {error}")
        }
        Err(_) => {
            log::debug!(request = &*call.request.id; "KV cache transfer timed out")
        }
    }
}
