//! Runs each non-idempotent request at most once over all hosts.
//!
//! A request with an idempotency key claims the key before it continues, and reports its outcome
//! afterwards. One without a key needs no claim, since a repeated send of it can't be recognised;
//! the host retries it only if no connection to a server was made, so that it is sent at most once.
//!
//! A claimed request continues if its caller disconnects, so that a repeated send finds its
//! outcome.

use std::sync::Arc;

use axum::{
    body::{Body, to_bytes},
    extract::{Request, State},
    http::{Extensions, HeaderValue, StatusCode, header},
    middleware::Next,
    response::{IntoResponse, Response},
};
use http_body_util::BodyExt;
use observe::{Event, event};
use policy::once::{self, Change, Claim, End, Outcome, Refusal, TimedKey, Verdict};
use types::{
    prelude::*,
    request::{Ran, Repeat},
};

use crate::{
    context::Context,
    filters::{Call, attempt},
    problem::{Kind, Problem},
};

/// Header that marks a response as a replay of the one recorded when the request ran.
pub const REPLAYED: &str = "idempotent-replayed";

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Permission to dispatch a claimed request, until the grant expires.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    until: Moment,
}

impl Grant {
    /// Rejects a claimed request that is dispatched too late, for example after a pause of this
    /// process.
    ///
    /// # Errors
    ///
    /// Fails if the grant has expired.
    pub fn check(extensions: &Extensions, now: Moment) -> Result<(), Problem> {
        match extensions.get::<Grant>() {
            None => Ok(()),
            Some(grant) if now < grant.until => Ok(()),
            Some(_) => {
                let detail = "the host was delayed between the claim of the key and the dispatch";
                Err(Problem::new(Kind::ClaimsUnavailable, detail).retry_after(RETRY_AFTER))
            }
        }
    }
}

/// Claims the key of a non-idempotent request.
pub async fn filter(State(context): State<Arc<Context>>, request: Request, next: Next) -> Response {
    let Some(call) = request.extensions().get::<Call>().cloned() else {
        return Problem::new(Kind::UnknownPath, "the request is not identified").into_response();
    };
    match (call.request.repeat, &call.request.key) {
        (Repeat::Once, Some(key)) => {
            let result = claim_and_run(context, &call, key, request, next).await;
            let mut response = result.unwrap_or_else(Problem::into_response);
            response.extensions_mut().insert(KeyChecked);
            response
        }
        (Repeat::Once, None) | (Repeat::Idempotent, _) => next.run(request).await,
    }
}

/// Corrects `ran` in rejections that occurred before the key was looked up.
///
/// This send did not run, but an earlier one with the same key may have. `ran` must cover both.
pub async fn correct_ran(request: Request, next: Next) -> Response {
    let call = request.extensions().get::<Call>();
    let is_keyed =
        call.is_some_and(|c| c.request.repeat == Repeat::Once && c.request.key.is_some());
    let response = next.run(request).await;
    let extensions = response.extensions();
    match extensions.get::<Problem>() {
        Some(problem)
            if is_keyed
                && problem.ran == Ran::DidNotRun
                && extensions.get::<KeyChecked>().is_none() =>
        {
            problem.clone().ran(Ran::MayHaveRun).into_response()
        }
        Some(_) | None => response,
    }
}

/// Marks a response that was created after the key was looked up.
#[derive(Clone, Copy, Debug)]
struct KeyChecked;

async fn claim_and_run(
    context: Arc<Context>,
    call: &Call,
    key: &request::Key,
    request: Request,
    next: Next,
) -> Result<Response, Problem> {
    let (mut request, digest) = with_digest(&context, request).await?;
    let service = call.numbered.config.services.get(&call.request.service);
    let customer = service.map(|service| service.customer.clone()).unwrap_or_default();
    let key = TimedKey::new(&customer, &call.request.service, key);
    let claim = Claim {
        id: call.request.id.clone(),
        key,
        digest,
        claimant: context.claims.me().clone(),
        made_at: context.now(),
    };
    let verdict = context.claims.claim(claim).await;
    record(&context, call, verdict.as_ref());
    let until = match verdict {
        Some(Verdict::Granted { until }) => until,
        Some(Verdict::Claimed { claimant }) => return Err(in_use_problem(&context, &claimant)),
        Some(Verdict::Done(outcome)) => return replay(outcome),
        Some(Verdict::Refused(refusal)) => return Err(refusal_problem(refusal)),
        None => return Err(refusal_problem(Refusal::Unread)),
    };
    request.extensions_mut().insert(Grant { until });
    let guard = ClaimGuard { context, id: call.request.id.clone(), key: key.key, end: End::Lost };
    tokio::spawn(run(guard, request, next)).await.map_err(|_| {
        let detail = "the request was abandoned while it ran";
        Problem::new(Kind::BackendFailed, detail).ran(Ran::MayHaveRun)
    })
}

/// Records the verdict on a key in the time line.
fn record(context: &Context, call: &Call, verdict: Option<&Verdict>) {
    let Some(key) = &call.request.key else { return };
    let claim = match verdict {
        Some(Verdict::Granted { .. }) => "granted",
        Some(Verdict::Claimed { .. }) => "claimed before",
        Some(Verdict::Done(_)) => "ran before",
        Some(Verdict::Refused(_)) | None => "refused",
    };
    let kind = event::Kind::Claim { key: key.clone(), claim: claim.into() };
    context.events.record(Event::new(kind).request(&call.request.id));
}

/// A claimed request; reports its outcome when dropped.
struct ClaimGuard {
    context: Arc<Context>,
    id: request::Id,
    key: once::Key,
    end: End,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let end = std::mem::replace(&mut self.end, End::Lost);
        let change = Change { id: self.id.clone(), key: self.key, end };
        self.context.claims.end(self.context.now(), change);
    }
}

async fn run(mut guard: ClaimGuard, request: Request, next: Next) -> Response {
    let response = next.run(request).await;
    if let Some(problem) = response.extensions().get::<Problem>() {
        guard.end = match problem.ran {
            Ran::DidNotRun => End::Released,
            Ran::MayHaveRun | Ran::Ran => End::Lost,
        };
        return response;
    }
    let (parts, body) = response.into_parts();
    guard.end = End::Ran(outcome(&parts, once::Body::Unrecorded));
    let is_short = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok())
        .is_some_and(|length| length <= once::Body::LIMIT);
    if !is_short {
        let body = body.map_frame(move |frame| {
            let _ = &guard;
            frame
        });
        return Response::from_parts(parts, Body::new(body));
    }
    match to_bytes(body, once::Body::LIMIT).await {
        Ok(bytes) => {
            guard.end = End::Ran(outcome(&parts, once::Body::new(&bytes)));
            Response::from_parts(parts, Body::from(bytes))
        }
        Err(error) => Problem::new(Kind::BackendFailed, format!("the answer ended early: {error}"))
            .ran(Ran::Ran)
            .into_response(),
    }
}

fn outcome(parts: &axum::http::response::Parts, body: once::Body) -> Outcome {
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Outcome { status: parts.status.as_u16(), content_type: content_type.to_owned(), body }
}

/// Reads the body and adds a digest that distinguishes requests with the same key.
async fn with_digest(context: &Context, request: Request) -> Result<(Request, u64), Problem> {
    let (parts, body) = request.into_parts();
    let limit = context.settings.bounds.body_bytes;
    let bytes = to_bytes(body, limit).await.map_err(|error| {
        let detail = format!(
            "can't read the body of a request with a key: {error}; the limit is {limit} bytes"
        );
        Problem::new(Kind::BodyTooLarge, detail)
    })?;
    let mut hasher = blake3::Hasher::new();
    let request_digest =
        parts.extensions.get::<Call>().map(|call| call.request.digest).unwrap_or_default();
    hasher.update(&request_digest);
    hasher.update(parts.method.as_str().as_bytes());
    hasher.update(&bytes);
    let digest = Claim::shorten(hasher.finalize().as_bytes());
    Ok((Request::from_parts(parts, Body::from(bytes)), digest))
}

fn replay(outcome: Outcome) -> Result<Response, Problem> {
    let status = StatusCode::from_u16(outcome.status).ok().filter(|s| attempt::is_final(*s));
    let (once::Body::Complete(body), Some(status)) = (outcome.body, status) else {
        let detail =
            format!("the request ran, with status {}; its answer was not stored", outcome.status);
        return Err(Problem::new(Kind::AlreadyRan, detail).ran(Ran::Ran));
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(&outcome.content_type)
        && !outcome.content_type.is_empty()
    {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    Ok(response)
}

/// The claimant may be running the request or may have died at any point; both mean "may have run".
fn in_use_problem(context: &Context, claimant: &once::HostRun) -> Problem {
    let list = context.fleet.list();
    let is_listed = list.hosts.iter().any(|entry| entry.host.id == claimant.host);
    let detail = match is_listed {
        true => {
            format!("host {} claimed this key, and its request may be in flight", claimant.host)
        }
        false => format!("host {} claimed this key and is no longer listed", claimant.host),
    };
    let problem = Problem::new(Kind::KeyInUse, detail).ran(Ran::MayHaveRun);
    if is_listed { problem.retry_after(RETRY_AFTER) } else { problem }
}

fn refusal_problem(refusal: Refusal) -> Problem {
    let (kind, detail) = match refusal {
        Refusal::Different => {
            (Kind::KeyReused, "the key was used for a request with different content")
        }
        Refusal::Ahead => (Kind::KeyAhead, "the time in the key is ahead of this host's clock"),
        Refusal::Old => (Kind::KeyExpired, "the time in the key is older than keys are kept"),
        Refusal::Unsure => (Kind::KeyInUse, "the request may have run; its outcome was lost"),
        Refusal::Unread => (
            Kind::ClaimsUnavailable,
            "can't read now whether the key was used; send the request again",
        ),
        Refusal::Unwritten => {
            (Kind::ClaimsUnavailable, "the key can't be claimed now; send the request again")
        }
        Refusal::Full => (Kind::ClaimsUnavailable, "there is no room for another key"),
    };
    let problem = Problem::new(kind, detail).ran(refusal.ran());
    match kind {
        Kind::ClaimsUnavailable | Kind::KeyAhead => problem.retry_after(RETRY_AFTER),
        _ => problem,
    }
}
