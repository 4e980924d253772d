//! Attempts at one call to a plain service.

use std::sync::Arc;

use ::backend::{StreamingResponse, wire};
use axum::{
    extract::Request,
    http::{StatusCode, header, request::Parts},
    response::Response,
};
use policy::{
    retry::{self, Failure, Point},
    route::Index,
    traffic::Requirements,
};
use types::{prelude::*, request::Ran};

use super::{first, give_up, is_final, upload::Upload};
use crate::{
    answer::next_attempt,
    context::Context,
    filters::{
        Call, Kind,
        account::Account,
        admit::AdmittedCall,
        deliver::{self, strip},
        extension,
        once::Grant,
    },
    problem::{self, Problem},
    traffic::DispatchedAttempt,
};

/// A call to a plain service, with the state of its attempts.
pub(super) struct Attempts {
    context: Arc<Context>,
    account: Account,
    call: Call,
    path: Arc<str>,
    requirements: Arc<Requirements>,
    parts: Parts,
    upload: Upload,
    first: Option<DispatchedAttempt>,
    failed: Vec<Index>,
    number: request::Attempt,
    ran: Ran,
}

impl Attempts {
    /// Reads the extensions that earlier filters added, and the body if it is short.
    pub(super) async fn start(
        context: Arc<Context>,
        request: Request,
    ) -> Result<Attempts, Problem> {
        let (parts, body) = request.into_parts();
        let call: Call = extension(&parts.extensions)?;
        let admitted: AdmittedCall = extension(&parts.extensions)?;
        let account: Account = extension(&parts.extensions)?;
        let first = first(&extension(&parts.extensions)?)?;
        let Kind::Plain { path, .. } = call.kind.clone() else {
            return Err(Problem::new(
                problem::Kind::UnknownPath,
                "the request is not a call to a plain service",
            ));
        };
        let upload = Upload::read(body, context.settings.bounds.idle).await?;
        Ok(Attempts {
            context,
            account,
            call,
            path,
            requirements: admitted.requirements,
            parts,
            upload,
            first: Some(first),
            failed: Vec::new(),
            number: 0,
            ran: Ran::DidNotRun,
        })
    }

    /// Makes attempts until one is answered or no further one is allowed.
    pub(super) async fn run(mut self) -> Result<Response, Problem> {
        let mut next = self.first.take();
        while let Some(sent) = next.take() {
            Grant::check(&self.parts.extensions, self.context.now())
                .map_err(|problem| problem.ran(self.ran))?;
            self.account.attempted(self.number, &sent.server().id);
            let response = self.context.backends.send(sent.server().address, self.request());
            let answer = tokio::time::timeout(self.call.time_left(&self.context), response).await;
            let (point, cause) = match answer {
                Ok(Ok(response)) if !is_final(response.status()) => {
                    (Point::Fault, format!("the service answers {}", response.status().as_u16()))
                }
                Ok(Ok(response)) if is_rejection(&response) => {
                    match self.attempt_failed(sent, Point::Refused, "the service refuses").await {
                        Ok(sent) => next = Some(sent),
                        // The service's own response tells the caller more than a problem document.
                        Err(_) => return Ok(deliver::passed_through(response, &self.account)),
                    }
                    continue;
                }
                Ok(Ok(response)) => {
                    let idle = self.context.settings.bounds.idle;
                    return Ok(deliver::plain(response, sent, self.account, idle));
                }
                Ok(Err(_)) if self.upload.is_broken() => {
                    let ran = self.ran.max(Ran::MayHaveRun);
                    return Err(Problem::new(
                        problem::Kind::BadRequest,
                        "the request body ended early",
                    )
                    .ran(ran));
                }
                Ok(Err(error)) => (self.failure_point(&error), error.to_string()),
                Err(_) => (Point::Waiting, "no response before the deadline".into()),
            };
            next = Some(self.attempt_failed(sent, point, &cause).await?);
        }
        Err(Problem::new(problem::Kind::Internal, "no attempt is due").ran(self.ran))
    }

    fn failure_point(&self, error: &::backend::Error) -> Point {
        if error.is_unsent() {
            Point::Connect
        } else if self.upload.is_unfinished() {
            Point::Sending
        } else {
            Point::Waiting
        }
    }

    /// Ends a failed attempt: returns the next one, or the problem that ends the call.
    async fn attempt_failed(
        &mut self,
        sent: DispatchedAttempt,
        point: Point,
        cause: &str,
    ) -> Result<DispatchedAttempt, Problem> {
        let server = &sent.server().id;
        log::warn!(
            request = &*self.call.request.id, server = &**server, attempt = self.number;
            "attempt failed at {point:?}: {cause}"
        );
        self.account.failed_attempt(self.number, server, point.as_str());
        self.failed.push(sent.index());
        sent.fail(point);
        let failure = Failure {
            point,
            repeat: self.call.request.repeat,
            body: self.upload.state(),
            before: self.ran,
            attempts: self.number + 1,
            time_left: self.call.time_left(&self.context),
        };
        self.ran = self.ran.max(point.ran());
        match self.context.traffic.after_failure(&failure) {
            retry::Verdict::GiveUp(ran) => Err(give_up(&self.call, &self.context, ran, cause)),
            retry::Verdict::Retry | retry::Verdict::Resume => {
                self.number += 1;
                self.account.retried(point.as_str());
                next_attempt(&self.context, &self.call, &self.requirements, &self.failed)
                    .await
                    .ok_or_else(|| give_up(&self.call, &self.context, self.ran, cause))
            }
        }
    }

    fn request(&self) -> http::Request<::backend::Body> {
        let mut request = http::Request::new(self.upload.body());
        *request.method_mut() = self.parts.method.clone();
        *request.headers_mut() = self.parts.headers.clone();
        let headers = request.headers_mut();
        strip(headers);
        headers.remove(header::HOST);
        headers.insert(wire::ATTEMPT, self.number.into());
        if let Ok(id) = self.call.request.id.parse() {
            headers.insert(wire::REQUEST_ID, id);
        }
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        request
    }
}

/// Whether a service rejects a request because of load or because it is shutting down.
fn is_rejection(response: &StreamingResponse) -> bool {
    matches!(response.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}
