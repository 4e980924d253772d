//! Handling of a connection: requests, orders, reports and health checks.

use std::{io, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request::Parts};
use platform::remote::server::{self as remote, Call, Health, IncomingRequest};
use relay::edge::OrderStatus;
use tokio::time::{Instant, sleep};
use types::routed::{Report, State};

use super::{Arrival, Ending, Fault, OrderFault, Run, Shared, work::Work};
use crate::routed::{lock, wire::Connection};

/// What is done with a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum After {
    Keep,
    Close,
    Reset,
}

/// A second answer to an earlier request of the connection, to be sent before the next answer.
pub(super) type Duplicate = Option<Vec<u8>>;

pub(super) async fn serve(shared: Arc<Shared>, mut connection: Connection) {
    *lock(&shared.connections) += 1;
    let mut duplicate = None;
    loop {
        let request = match shared.settings.idle {
            Some(idle) => tokio::time::timeout(idle, connection.read()).await,
            None => Ok(connection.read().await),
        };
        let Ok(Ok(Some(request))) = request else { return };
        let after = handle(&shared, &mut connection, request, &mut duplicate).await;
        match after.unwrap_or(After::Close) {
            After::Keep => {}
            After::Close => return,
            After::Reset => return connection.reset(),
        }
    }
}

async fn handle(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    request: Request<Bytes>,
    duplicate: &mut Duplicate,
) -> io::Result<After> {
    let (head, body) = request.into_parts();
    record_arrival(shared, &head, &body);
    let expected = remote::expected_instance(&head.headers);
    if expected.is_some_and(|expected| *expected != *shared.settings.id) {
        return refuse(shared, connection, &head, StatusCode::MISDIRECTED_REQUEST).await;
    }
    match remote::call(&head, &body) {
        Call::Report => {
            let age = lock(&shared.script).report_age;
            let report = shared.inventory().report(shared.load(), age);
            let report = Report { started_at: shared.settings.started_at, ..report };
            connection.write(&remote::report(&report)).await.map(|()| After::Keep)
        }
        Call::Order(None) => {
            let answer = remote::order_response(OrderStatus::Invalid, shared.settings.started_at);
            connection.write(&answer).await.map(|()| After::Keep)
        }
        Call::Order(Some(order)) => handle_order(shared, connection, order).await,
        Call::Request(_) if head.uri.path() == &*shared.settings.health => {
            let is_ready = shared.registration.borrow().state == State::Ready;
            let health = if is_ready { Health::Healthy } else { Health::Unhealthy };
            let mut response = remote::health(&shared.settings.id, health);
            remote::load(response.headers_mut(), shared.load());
            connection.write(&response).await.map(|()| After::Keep)
        }
        Call::Request(incoming) => {
            handle_request(shared, connection, *incoming, head, body, duplicate).await
        }
    }
}

fn record_arrival(shared: &Shared, head: &Parts, body: &[u8]) {
    if head.uri.path() != &*shared.settings.health
        && let Call::Request(incoming) = remote::call(head, body)
        && let Some(id) = incoming.id
    {
        let IncomingRequest { customers, has_key, .. } = *incoming;
        lock(&shared.arrivals).push(Arrival { id, at: Instant::now(), customers, has_key });
    }
}

async fn handle_order(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    order: remote::Order,
) -> io::Result<After> {
    let (arrived_at, fault) = (Instant::now(), lock(&shared.script).order_faults.pop_front());
    if let Some(OrderFault::Late(delay)) = fault {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            apply_order(&shared, &order, arrived_at);
        });
        connection.closed().await;
        return Ok(After::Close);
    }
    let outcome = apply_order(shared, &order, arrived_at);
    if fault == Some(OrderFault::Lost) {
        return Ok(After::Close);
    }
    let answer = remote::order_response(outcome, shared.settings.started_at);
    connection.write(&answer).await.map(|()| After::Keep)
}

fn apply_order(shared: &Arc<Shared>, order: &remote::Order, arrived_at: Instant) -> OrderStatus {
    let (outcome, pending_load) = shared.inventory().handle_order(order, arrived_at);
    shared.register();
    if shared.inventory().overload.is_some() {
        shared.crash();
    }
    if let Some(pending_load) = pending_load {
        let (shared, load_time) = (shared.clone(), lock(&shared.script).load_time);
        tokio::spawn(async move {
            sleep(load_time).await;
            shared.inventory().finish_load(&pending_load);
            shared.register();
        });
    }
    outcome
}

/// Answers a request with `status`, and states that it wasn't run.
async fn refuse(
    shared: &Shared,
    connection: &mut Connection,
    head: &Parts,
    status: StatusCode,
) -> io::Result<After> {
    let mut response = Response::new(Bytes::from_static(b"{\"error\":\"not run\"}"));
    *response.status_mut() = status;
    remote::not_run(response.headers_mut());
    remote::load(response.headers_mut(), shared.load());
    shared.add_limits(response.headers_mut());
    if status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(back_off) = lock(&shared.script).back_off.clone()
    {
        remote::retry_after(response.headers_mut(), &back_off);
    }
    if let Call::Request(incoming) = remote::call(head, &[])
        && let Some(id) = &incoming.id
    {
        remote::echo(response.headers_mut(), id);
    }
    connection.write(&response).await.map(|()| After::Keep)
}

/// A request's place in the queue, and later its slot; dropping it frees the place or the slot.
struct Slot<'a> {
    shared: &'a Shared,
    is_running: bool,
}

impl<'a> Slot<'a> {
    /// Enters the queue; `None` if all slots and the queue are taken.
    fn enqueue(shared: &'a Shared) -> Option<Slot<'a>> {
        let settings = &shared.settings;
        let is_brittle = lock(&shared.script).brittle.is_some();
        let has_entered = shared.load.send_if_modified(|load| {
            let is_free = match is_brittle {
                true => load.running + load.waiting < settings.slots,
                false => load.running < settings.slots || load.waiting < settings.queue,
            };
            load.waiting += u32::from(is_free);
            is_free
        });
        has_entered.then(|| Slot { shared, is_running: false })
    }

    /// Waits for a free slot, and leaves the queue for it.
    async fn acquire(&mut self) {
        let mut changes = self.shared.load.subscribe();
        while !self.is_running {
            self.is_running = self.shared.load.send_if_modified(|load| {
                let is_free = load.running < self.shared.settings.slots;
                load.running += u32::from(is_free);
                load.waiting -= u32::from(is_free);
                is_free
            });
            if !self.is_running {
                let _ = changes.changed().await;
            }
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.shared.load.send_modify(|load| match self.is_running {
            true => load.running -= 1,
            false => load.waiting -= 1,
        });
    }
}

async fn handle_request(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    incoming: IncomingRequest,
    head: Parts,
    body: Bytes,
    duplicate: &mut Duplicate,
) -> io::Result<After> {
    let arrived_at = Instant::now();
    let Some(id) = incoming.id.clone() else {
        return refuse(shared, connection, &head, StatusCode::BAD_REQUEST).await;
    };
    lock(&shared.quota).record_arrival(&id, arrived_at.duration_since(shared.started_at));
    if shared.inventory().is_loading(incoming.model.as_ref(), incoming.adapter.as_ref()) {
        return refuse(shared, connection, &head, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    if !shared.inventory().has(incoming.model.as_ref(), incoming.adapter.as_ref()) {
        return refuse(shared, connection, &head, StatusCode::MISDIRECTED_REQUEST).await;
    }
    let fault = lock(&shared.script).take_fault();
    match fault {
        Some(Fault::NotRun(status)) => return refuse(shared, connection, &head, status).await,
        Some(Fault::NotRunLate { status, after }) => {
            tokio::select! {
                () = sleep(after) => {}
                () = connection.closed() => return Ok(After::Close),
            }
            return refuse(shared, connection, &head, status).await;
        }
        _ => {}
    }
    let Some(mut slot) = Slot::enqueue(shared) else {
        shared.reject(&id);
        return refuse(shared, connection, &head, StatusCode::SERVICE_UNAVAILABLE).await;
    };
    tokio::select! {
        () = slot.acquire() => {}
        () = connection.closed() => return Ok(After::Close),
    }
    if let Some(duplicate) = duplicate.take() {
        connection.write_raw(&duplicate).await?;
    }
    let run = start_run(shared, incoming, head, body, Received { arrived_at, fault });
    let work = Work { shared, run, id, fault, connection };
    let (ending, after) = work.answer(duplicate).await;
    end_run(shared, run, ending);
    Ok(after)
}

/// When a request arrived, and the fault that the script applies to it.
struct Received {
    arrived_at: Instant,
    fault: Option<Fault>,
}

fn start_run(
    shared: &Shared,
    request: IncomingRequest,
    head: Parts,
    body: Bytes,
    received: Received,
) -> usize {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str()).to_owned();
    let (method, headers) = (head.method, head.headers);
    let started_at = Instant::now();
    let mut runs = lock(&shared.runs);
    let (Received { arrived_at, fault }, ending, ended_at) = (received, None, None);
    runs.push(Run {
        request,
        method,
        path,
        headers,
        body,
        arrived_at,
        started_at,
        fault,
        ending,
        ended_at,
    });
    runs.len() - 1
}

fn end_run(shared: &Shared, run: usize, ending: Ending) {
    lock(&shared.runs)[run].end(ending);
}
