//! Sends a call to a backend server, and retries it on another one if that is safe.
//!
//! `policy::retry` decides whether a call may be sent again; the table of all cases is in
//! `docs/design/caller-path.md`.

mod plain;
mod upload;

use std::sync::Arc;

use ::backend::wire;
use axum::{
    extract::{Request, State},
    http::StatusCode,
    response::{IntoResponse, Response},
};
use types::{prelude::*, request::Ran};

use crate::{
    answer::Answer,
    context::Context,
    filters::{
        Call, Delivery, Kind, account::Account, admit::AdmittedCall, deliver, extension,
        once::Grant, route::FirstAttempt,
    },
    problem::{self, Problem},
    traffic::DispatchedAttempt,
};

/// `Retry-After` if a short wait may help.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a call to a model.
pub async fn model(State(context): State<Arc<Context>>, request: Request) -> Response {
    match try_model(context, request).await {
        Ok(response) => response,
        Err(problem) => problem.into_response(),
    }
}

async fn try_model(context: Arc<Context>, request: Request) -> Result<Response, Problem> {
    let extensions = request.extensions();
    let call: Call = extension(extensions)?;
    let admitted: AdmittedCall = extension(extensions)?;
    let account: Account = extension(extensions)?;
    let first = first(&extension(extensions)?)?;
    Grant::check(extensions, context.now())?;
    let Kind::Model(model_request) = call.kind.clone() else {
        return Err(Problem::new(
            problem::Kind::UnknownPath,
            "the request is not a call to a model",
        ));
    };
    let answer = Answer::new(
        context,
        account.clone(),
        call.clone(),
        model_request.clone(),
        admitted.requirements,
        first,
    );
    let mut response = match model_request.delivery {
        Delivery::Streamed => deliver::streamed(answer, account).await?,
        Delivery::Buffered => deliver::buffered(answer, &call, &model_request).await?,
    };
    if let Ok(id) = call.request.id.parse() {
        response.headers_mut().insert(wire::REQUEST_ID, id);
    }
    Ok(response)
}

/// Handles a call to a plain service.
pub async fn plain(State(context): State<Arc<Context>>, request: Request) -> Response {
    match plain::Attempts::start(context, request).await {
        Ok(attempts) => attempts.run().await.unwrap_or_else(Problem::into_response),
        Err(problem) => problem.into_response(),
    }
}

fn first(attempt: &FirstAttempt) -> Result<DispatchedAttempt, Problem> {
    attempt
        .take()
        .ok_or_else(|| Problem::new(problem::Kind::Internal, "the first attempt was already taken"))
}

/// Returns whether HTTP defines a class of final responses for a status. The HTTP client accepts
/// statuses up to 999.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns the problem that ends a call after its last attempt; `ran` covers all attempts.
pub(crate) fn give_up(call: &Call, context: &Context, ran: Ran, cause: &str) -> Problem {
    let kind = match ran {
        _ if call.time_left(context).is_zero() => problem::Kind::Timeout,
        Ran::DidNotRun => problem::Kind::NoServer,
        Ran::MayHaveRun | Ran::Ran => problem::Kind::BackendFailed,
    };
    let problem = Problem::new(kind, cause).ran(ran);
    match ran {
        Ran::DidNotRun => problem.retry_after(RETRY_AFTER),
        Ran::MayHaveRun | Ran::Ran => problem,
    }
}
