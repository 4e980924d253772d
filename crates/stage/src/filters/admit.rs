//! Admits a call, queues it, or rejects it before it is sent to a server.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use policy::{
    admit::{self, Cause, Refusal},
    route::Destination,
    traffic::Requirements,
};
use types::{config::Config, prelude::*};

use crate::{
    context::Context,
    filters::{Call, Kind, extension},
    problem::{self, Problem},
    traffic::{Denial, Reservation},
};

/// `Retry-After` if no server is ready for a call.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// An admitted call.
#[derive(Clone, Debug)]
pub struct AdmittedCall {
    /// The request as admission and routing see it.
    pub requirements: Arc<Requirements>,
    /// Reserved capacity, until the call is sent.
    pub reservation: Arc<Reservation>,
}

/// Adds [`AdmittedCall`] to the request, or rejects it.
pub async fn filter(State(context): State<Arc<Context>>, request: Request, next: Next) -> Response {
    match admit(&context, request).await {
        Ok(request) => next.run(request).await,
        Err(problem) => problem.into_response(),
    }
}

async fn admit(context: &Arc<Context>, mut request: Request) -> Result<Request, Problem> {
    let call: Call = extension(request.extensions())?;
    let requirements = requirements(context, &call);
    let reservation = context.traffic.admit(&requirements).await.map_err(to_problem)?;
    let admitted =
        AdmittedCall { requirements: Arc::new(requirements), reservation: Arc::new(reservation) };
    request.extensions_mut().insert(admitted);
    Ok(request)
}

fn requirements(context: &Context, call: &Call) -> Requirements {
    let request = &call.request;
    let config = &call.numbered.config;
    let service = config.services.get(&request.service);
    let customer = service.map(|service| service.customer.clone()).unwrap_or_default();
    let customer_share = config.customers.get(&customer).map_or(1, |customer| customer.share);
    let (destination, version) = destination(call, config);
    let (index, pool) = context.traffic.destinations(&destination);
    let work = admit::Request {
        ticket: context.traffic.ticket(),
        priority: request.priority,
        customer,
        customer_share,
        service: request.service.clone(),
        service_share: service.map_or(1, |service| service.share),
        wanted: index,
        pool,
        due: call.received + request.target.first_token,
        spread: request_seed(&request.id),
    };
    Requirements {
        work,
        target: request.target.first_token,
        version,
        prefix: request.prefix.clone(),
        prompt_tokens: request.prompt_tokens,
    }
}

/// Returns what a server must have loaded, and its version in force.
fn destination(call: &Call, config: &Config) -> (Destination, model::Version) {
    match (&call.kind, &call.request.model) {
        (Kind::Plain { group, .. }, _) => (Destination::Group(group.clone()), "".into()),
        (Kind::Model(_), Some(name)) => (Destination::Model(name.clone()), version(config, name)),
        (Kind::Model(_), None) => (Destination::Model(model::Name::parse("")), "".into()),
    }
}

fn version(config: &Config, name: &model::Name) -> model::Version {
    let Some(model) = config.models.get(&name.model) else { return "".into() };
    match &name.adapter {
        None => model.version.clone(),
        Some(adapter) => model.adapters.get(adapter).map_or("".into(), |a| a.version.clone()),
    }
}

/// Returns a hash of the request id, so that choices and retry times differ between requests.
fn request_seed(id: &request::Id) -> u64 {
    let digest = blake3::hash(id.as_bytes());
    let (first, _) = digest.as_bytes().split_at(size_of::<u64>());
    first.try_into().map_or(0, u64::from_le_bytes)
}

fn to_problem(denial: Denial) -> Problem {
    match denial {
        Denial::Unready => {
            Problem::new(problem::Kind::NoServer, "no backend server is ready for this request")
                .retry_after(NO_SERVER_RETRY_AFTER)
        }
        Denial::Refused(Refusal { cause, retry_after }) => {
            let detail = match cause {
                Cause::Late => "the first token can't meet its target under the current load",
                Cause::Full => "the queue of the requested model or service is full",
                Cause::Displaced => "a more urgent request displaced this one from the queue",
            };
            Problem::new(problem::Kind::Overloaded, detail).retry_after(retry_after)
        }
    }
}
