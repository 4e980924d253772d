//! Attempts of one request at several servers, of which the first to be answered wins.
//!
//! A request whose server is unresponsive is also sent to another server. A sound server may be
//! silent for a moment, and the other server may reject the request, so no attempt is given up
//! before another one is answered, or before the other server has had a stream for so long that it
//! must be taken for at work on it: two servers must not generate one stream side by side. A server
//! that is left for that reason may be asked again.

use std::{future::Future, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use http::StatusCode;
use policy::dispatch::{Ticket, Unclear};
use tokio::{select, time::Instant};
use tokio_util::sync::CancellationToken;
use types::backend;

use crate::{
    attempt::AttemptEnd,
    call::{Call, Next},
    timer::{sleep, sleep_until},
    trace::Unresponsive,
};

/// Interval at which another server is sought for a request at an unresponsive server, after none
/// was found.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which is checked whether the latest attempt takes the place of those before it.
pub(crate) const ACCEPTANCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An attempt that does not end the request.
pub(crate) struct Failure<T> {
    pub(crate) end: AttemptEnd,
    /// The server's own error response, with its status.
    pub(crate) answer: Option<(StatusCode, T)>,
}

impl<T> From<AttemptEnd> for Failure<T> {
    fn from(end: AttemptEnd) -> Failure<T> {
        Failure { end, answer: None }
    }
}

/// Why a race has no winner.
pub(crate) enum Lost<E> {
    /// All of its attempts have failed, and an attempt that was started before is in flight.
    InFlight,
    /// All attempts have failed, and no further server is asked for this reason.
    Ended(E),
}

/// Runs attempts, each started by `begin`, until one is answered. The first one has this ticket and
/// goes to this server; a further one is started whenever the latest server is unresponsive for the
/// time that `patience` returns, or is so in the view of the dispatcher. `next` returns what follows a
/// failed attempt.
///
/// # Errors
///
/// No attempt was answered; if a server has sent an error response, that is returned instead.
pub(crate) async fn run<T, E, F, N>(
    call: &Call,
    first: (Ticket, backend::Id),
    patience: impl Fn() -> Duration,
    begin: impl Fn(Ticket, backend::Id) -> F,
    next: impl Fn(Ticket, AttemptEnd, Option<StatusCode>) -> N,
) -> Result<T, Lost<E>>
where
    F: Future<Output = Result<T, Failure<T>>>,
    N: Future<Output = Result<Next, E>>,
{
    let start = |ticket, server, ended: CancellationToken| {
        let attempt = begin(ticket, server);
        async move {
            let end = select! {
                biased;
                end = attempt => end,
                () = ended.cancelled() => Err(AttemptEnd::Unclear(Unclear::Silent).into()),
            };
            (ticket, end)
        }
    };
    let mut latest = first.0;
    let mut attempts = FuturesUnordered::new();
    // Cancelled when the latest attempt takes the place of those before it.
    let mut superseded = CancellationToken::new();
    attempts.push(start(latest, first.1, superseded.clone()));
    let mut seek_at = Instant::now() + patience();
    let mut error_answer = None;
    // End the attempts before the latest one.
    let mut earlier: Vec<CancellationToken> = Vec::new();
    loop {
        let why = select! {
            biased;
            Some((ticket, ended)) = attempts.next() => {
                let failure = match ended {
                    Ok(answer) => {
                        drop(attempts);
                        call.won(ticket);
                        return Ok(answer);
                    }
                    Err(failure) => failure,
                };
                let status = failure.answer.as_ref().map(|(status, _)| *status);
                error_answer = failure.answer.map(|(_, answer)| answer).or(error_answer);
                match next(ticket, failure.end, status).await {
                    Ok(Next::Server(server)) => {
                        attempts.push(start(ticket, server, superseded.clone()));
                        (latest, seek_at) = (ticket, Instant::now() + patience());
                    }
                    Ok(Next::InFlight) if attempts.is_empty() => return Err(Lost::InFlight),
                    Ok(Next::InFlight) if ticket == latest => {
                        // The attempts before go on, and the next one may take their place.
                        superseded = earlier.pop().unwrap_or(superseded);
                        latest = call.handle.latest().unwrap_or(first.0);
                        let pause = if error_answer.is_some() { patience() } else { SEEK_INTERVAL };
                        seek_at = Instant::now() + pause;
                    }
                    Ok(Next::InFlight) => {}
                    // The server's own error response is more specific than this host's.
                    Err(error) => return error_answer.ok_or(Lost::Ended(error)),
                }
                continue;
            }
            Ok(_) = call.handle.hedge_signal(latest) => Unresponsive::Dispatcher,
            () = sleep(ACCEPTANCE_CHECK_INTERVAL), if !earlier.is_empty() => {
                if call.handle.is_accepted(latest) {
                    earlier.drain(..).for_each(|attempt| attempt.cancel());
                }
                continue;
            }
            () = sleep_until(seek_at), if call.may_repeat() => Unresponsive::Timeout,
        };
        match call.hedge(latest, why) {
            Some((ticket, server)) => {
                earlier.push(std::mem::take(&mut superseded));
                attempts.push(start(ticket, server, superseded.clone()));
                (latest, seek_at) = (ticket, Instant::now() + patience());
            }
            // The only other server that may run the request has sent nothing.
            None if why == Unresponsive::Timeout
                && error_answer.is_some()
                && !call.handle.has_begun(latest) =>
            {
                return error_answer.ok_or(Lost::InFlight);
            }
            // The dispatcher gives its verdict again if the server stays unresponsive.
            None if why == Unresponsive::Dispatcher => {}
            None => seek_at = Instant::now() + SEEK_INTERVAL,
        }
    }
}
