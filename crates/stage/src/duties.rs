//! Background tasks of a host.

mod config;
mod gossip;
mod list;
pub mod once;
mod plan;
mod pump;
mod reports;

use std::{future::Future, sync::Arc};

use crate::context::Context;

/// Starts all background tasks; they end with the context's stop token.
pub fn start(context: &Arc<Context>) {
    spawn(context, list::run(context.clone()));
    spawn(context, gossip::contact_seeds(context.clone()));
    spawn(context, gossip::run(context.clone()));
    spawn(context, gossip::advertise_config(context.clone()));
    spawn(context, config::run(context.clone()));
    spawn(context, reports::run(context.clone()));
    spawn(context, once::run(context.clone()));
    spawn(context, pump::run(context.clone()));
    spawn(context, plan::run(context.clone()));
}

fn spawn(context: &Arc<Context>, duty: impl Future<Output = ()> + Send + 'static) {
    let stop = context.stop.clone();
    context.duties.spawn(async move {
        tokio::select! {
            () = duty => {}
            () = stop.cancelled() => {}
        }
    });
}
