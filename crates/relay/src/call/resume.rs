//! Streams of which the caller has a part, and attempts to continue them at another server.

use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, future::BoxFuture};
use observe::metrics::routed::Obstacle;
use policy::{
    attempt_timeout,
    dispatch::{self, Answer, Ticket, Verdict},
};
use tokio::select;
use types::prelude::*;

use super::{Call, Next};
use crate::{
    attempt::{AttemptEnd, ResponseStart},
    host::Shared,
    race::{self, Lost},
    stream,
    timer::sleep,
    trace::{self, Unresponsive},
};

/// Time between two confirmations of the servers for one stream.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);

impl Call {
    /// Returns what follows a failed attempt of a stream of which the caller has a part. Such a stream
    /// can't be refused any more: it waits for a server as long as its time allows.
    ///
    /// # Errors
    ///
    /// No server can continue the stream.
    pub(crate) async fn next_server_midway(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
        end: AttemptEnd,
    ) -> Result<Next, Obstacle> {
        self.trace.attempt_ended(ticket, end, None);
        let mut end = end;
        loop {
            let server = match self.handle.failed(ticket, end) {
                dispatch::RetryDecision::InFlight => return Ok(Next::InFlight),
                _ if self.renew_caller(shared).is_none() => return Err(Obstacle::Revoked),
                dispatch::RetryDecision::Send(server) => server,
                dispatch::RetryDecision::Wait => {
                    self.trace.queued("again", self.time_left(shared));
                    self.wait_midway(shared, ticket).await?
                }
                dispatch::RetryDecision::Missing { model, adapter } => {
                    self.trace.queued("missing", self.time_left(shared));
                    shared.request_missing(&self.service, &model, adapter.as_ref());
                    self.wait_midway(shared, ticket).await?
                }
                dispatch::RetryDecision::GiveUp(
                    Answer::NotRun { cause, .. } | Answer::Server(cause) | Answer::Unclear(cause),
                ) => return Err(trace::obstacle(cause)),
            };
            if !shared.confirm_servers().await {
                return Ok(Next::Server(server));
            }
            // The server may have left without this host knowing it.
            self.trace.queued("outdated", self.time_left(shared));
            sleep(CONFIRMATION_INTERVAL).await;
            end = AttemptEnd::Unreachable(dispatch::Unreachable::Closed);
        }
    }

    /// Waits until the dispatcher has a server for a stream of which the caller has a part.
    ///
    /// # Errors
    ///
    /// No server can continue the stream.
    async fn wait_midway(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
    ) -> Result<backend::Id, Obstacle> {
        let verdict = select! {
            verdict = shared.wait_for_verdict(ticket) => verdict.ok(),
            () = shared.finished() => None,
            () = self.revoked(shared) => return Err(Obstacle::Revoked),
        };
        let obstacle = match verdict {
            Some(Verdict::Send(server)) => return Ok(server),
            Some(Verdict::Refuse { cause, .. } | Verdict::Unclear(cause)) => trace::obstacle(cause),
            Some(Verdict::Quarantined) => Obstacle::Poison,
            // Not expected: the request waits already, and has no server.
            Some(Verdict::Wait | Verdict::Missing { .. } | Verdict::Hedge) => Obstacle::NoServer,
            None => Obstacle::Stopping,
        };
        self.handle.end(AttemptEnd::Cancelled);
        Err(obstacle)
    }

    /// Returns why this host drops a stream that has begun; `None` if its caller has left.
    pub(crate) fn dropped_by_host(&self) -> Option<stream::End> {
        let shared = self.handle.shared();
        let is_revoked = || shared.routed.revocation.strict && self.renew_caller(shared).is_none();
        if shared.has_finished() {
            return Some(stream::End::Stopping);
        }
        is_revoked().then_some(stream::End::Revoked)
    }
}

/// Continues a stream at another server.
pub(crate) struct Resumer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Arc<Call>,
}

/// Attempts at other servers to continue a stream.
pub(crate) type Resuming = BoxFuture<'static, Result<ResponseStart, Lost<Obstacle>>>;

impl Resumer {
    /// Returns the time that a server has for its first event.
    pub(crate) fn first_event_timeout(&self) -> Duration {
        attempt_timeout::first_event(self.call.route.goal)
    }

    /// Starts an attempt to resume a stream after the event `after`, at another server than the
    /// unresponsive one, if one can take it now. The attempt with this ticket goes on.
    pub(crate) fn hedge(
        &self,
        ticket: Ticket,
        after: Option<u64>,
        why: Unresponsive,
    ) -> Option<Resuming> {
        let hedge = self.call.hedge(ticket, why)?;
        let (shared, call) = (self.shared.clone(), self.call.clone());
        Some(async move { resume(&shared, &call, hedge, after).await }.boxed())
    }

    /// Resumes the stream after the event `after`, once the attempt with this ticket has failed.
    pub(crate) fn resume(&self, ticket: Ticket, after: Option<u64>, end: AttemptEnd) -> Resuming {
        let (shared, call) = (self.shared.clone(), self.call.clone());
        async move {
            let next = call.next_server_midway(&shared, ticket, end).await;
            match next.map_err(Lost::Ended)? {
                Next::Server(server) => resume(&shared, &call, (ticket, server), after).await,
                Next::InFlight => Err(Lost::InFlight),
            }
        }
        .boxed()
    }
}

async fn resume(
    shared: &Arc<Shared>,
    call: &Call,
    first: (Ticket, backend::Id),
    after: Option<u64>,
) -> Result<ResponseStart, Lost<Obstacle>> {
    let patience = || attempt_timeout::first_event(call.route.goal);
    let begin = async |ticket, server: backend::Id| {
        let mut start = call.send(shared, ticket, &server, after).await?;
        // The caller has the head of the first response, so an error response is of no use.
        if !start.head.status.is_success() {
            return Err(AttemptEnd::ServerError.into());
        }
        start.response.receive_event(after.or(call.request.info.resume)).await?;
        Ok(start)
    };
    let next = async |ticket, end, _| call.next_server_midway(shared, ticket, end).await;
    race::run(call, first, patience, begin, next).await
}
