//! Chooses the backend server for a call's first attempt.

use std::sync::{Arc, Mutex};

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use types::prelude::*;

use crate::{
    context::Context,
    filters::{admit::AdmittedCall, extension},
    problem::{Kind, Problem},
    traffic::DispatchedAttempt,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// First attempt of a call, which the attempt filter takes and sends.
#[derive(Clone, Debug)]
pub struct FirstAttempt(Arc<Mutex<Option<DispatchedAttempt>>>);

impl FirstAttempt {
    /// Returns the attempt, unless it was taken already.
    pub fn take(&self) -> Option<DispatchedAttempt> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take()
    }
}

/// Adds [`FirstAttempt`] to the request, or rejects it if no server can be used any more.
pub async fn filter(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let admitted: AdmittedCall = match extension(request.extensions()) {
        Ok(admitted) => admitted,
        Err(problem) => return problem.into_response(),
    };
    let Some(sent) = context.traffic.dispatch(&admitted.reservation, &admitted.requirements) else {
        return Problem::new(
            Kind::NoServer,
            "no backend server is ready for this request any more",
        )
        .retry_after(RETRY_AFTER)
        .into_response();
    };
    request.extensions_mut().insert(FirstAttempt(Arc::new(Mutex::new(Some(sent)))));
    next.run(request).await
}
