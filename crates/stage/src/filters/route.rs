//! Lists the backend servers that could run a call, the best first.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use types::{prelude::*, resident::State as Progress};

use crate::{
    context::Context,
    filters::{Call, Kind},
    problem::{self, Problem},
};

const COME_BACK: Duration = Duration::from_secs(1);

/// Servers that could run a call, the best first.
#[derive(Clone, Debug)]
pub struct Candidates(pub Arc<[backend::Server]>);

/// Adds [`Candidates`] to the request, or refuses if there is none.
pub async fn filter(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let Some(call) = request.extensions().get::<Call>() else {
        return Problem::new(problem::Kind::UnknownPath, "no call").into_response();
    };
    let servers = candidates(&context, call);
    if servers.is_empty() {
        return Problem::new(problem::Kind::NoServer, "no backend server is ready for it")
            .retry_after(COME_BACK)
            .into_response();
    }
    request.extensions_mut().insert(Candidates(servers.into()));
    next.run(request).await
}

fn candidates(context: &Context, call: &Call) -> Vec<backend::Server> {
    let mut servers = match (&call.kind, &call.request.model) {
        (Kind::Plain { group, .. }, _) => in_group(context, group),
        (Kind::Model(_), Some(name)) => holding(context, name),
        (Kind::Model(_), None) => Vec::new(),
    };
    servers.sort_by_key(|server| (load(context, &server.id), server.zone != context.host().zone));
    servers
}

fn in_group(context: &Context, group: &backend::Group) -> Vec<backend::Server> {
    context.fleet.open_servers().into_iter().filter(|server| server.group == *group).collect()
}

fn holding(context: &Context, name: &model::Name) -> Vec<backend::Server> {
    let readings = context.fleet.readings();
    let holds = |server: &backend::Server| {
        readings.get(&server.id).is_some_and(|reading| is_ready(&reading.load, name))
    };
    context.fleet.open_servers().into_iter().filter(holds).collect()
}

fn is_ready(load: &report::Load, name: &model::Name) -> bool {
    let mut ready = load.residents.iter().filter(|r| r.state == Progress::Ready);
    ready.any(|resident| match (&resident.unit, &name.adapter) {
        (Unit::Model { model, .. }, None) => *model == name.model,
        (Unit::Adapter { model, adapter, .. }, Some(wanted)) => {
            *model == name.model && adapter == wanted
        }
        _ => false,
    })
}

fn load(context: &Context, server: &backend::Id) -> u32 {
    let own = context.fleet.in_flight(server);
    let readings = context.fleet.readings();
    readings.get(server).map_or(own, |r| own.max(r.load.running + r.load.waiting))
}
