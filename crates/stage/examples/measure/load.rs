//! Open-loop load: sends each request at its scheduled time, and measures its first and last token.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ::backend::wire;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::Instant};
use types::prelude::*;

use crate::{
    Strategy,
    demand::{Arrival, Schedule},
    deployment::Sizes,
    route::Router,
    site::Site,
};

/// Time after which a caller gives up a request.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Number of arrivals of each model, shared with the baseline's planner.
pub(crate) struct ArrivalCounts(BTreeMap<model::Id, AtomicU64>);

impl ArrivalCounts {
    pub(crate) fn new(sizes: &Sizes) -> ArrivalCounts {
        ArrivalCounts(
            sizes.config.models.keys().map(|id| (id.clone(), AtomicU64::new(0))).collect(),
        )
    }

    /// Returns the arrivals since the last call, and resets them.
    pub(crate) fn take(&self) -> BTreeMap<model::Id, u64> {
        self.0.iter().map(|(id, count)| (id.clone(), count.swap(0, Ordering::Relaxed))).collect()
    }

    fn record(&self, model: &model::Id) {
        if let Some(count) = self.0.get(model) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Result of a request.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// Answered completely: time to the first token and mean time between tokens.
    Answered { first: Duration, between: Duration },
    /// Refused: the type of the problem document, the HTTP status, or `no replica`.
    Refused(String),
    /// Failed, truncated or timed out, with the cause.
    Failed(String),
}

/// A request and its result.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) arrival: Arrival,
    pub(crate) end: End,
}

/// Sends the requests of a schedule, waits until all have ended, and returns their outcomes in
/// order of arrival.
pub(crate) async fn run_schedule(
    site: &Arc<Site>,
    schedule: &Schedule,
    strategy: Strategy,
    counts: Arc<ArrivalCounts>,
) -> Vec<Outcome> {
    let client = ::backend::Client::new();
    let router = Arc::new(Router::new(site, strategy));
    let origin = Instant::now();
    let mut callers = JoinSet::new();
    for (serial, arrival) in schedule.arrivals.iter().cloned().enumerate() {
        tokio::time::sleep_until(origin + arrival.at).await;
        counts.record(&arrival.model);
        let (client, router) = (client.clone(), router.clone());
        callers.spawn(async move {
            let answer = ask(&client, &router, &arrival, serial);
            let end = tokio::time::timeout(TIMEOUT, answer).await;
            let end = end.unwrap_or_else(|_| End::Failed("given up".into()));
            Outcome { arrival, end }
        });
    }
    tokio::time::sleep_until(origin + schedule.duration).await;
    let mut outcomes = callers.join_all().await;
    outcomes.sort_by_key(|outcome| outcome.arrival.at);
    outcomes
}

async fn ask(client: &::backend::Client, router: &Router, arrival: &Arrival, serial: usize) -> End {
    let started = Instant::now();
    let Some(route) = router.choose(arrival) else {
        return End::Refused("no replica".into());
    };
    let name =
        model::Name { model: arrival.model.clone(), adapter: arrival.adapter.clone() }.to_string();
    let payload = json!({
        "model": name, "stream": true, "max_tokens": arrival.tokens,
        "messages": [{"role": "user", "content": format!("letter {}", arrival.prompt)}],
    });
    let request = http::Request::post("/v1/chat/completions")
        .header(wire::REQUEST_ID, format!("measure-{serial}"))
        .body(::backend::full_body(payload.to_string().into()));
    let Ok(request) = request else { return End::Failed("malformed".into()) };
    match client.send(route.address, request).await {
        Ok(response) if response.status().is_success() => read_stream(response, started).await,
        Ok(response) => End::Refused(cause(response).await),
        Err(error) => End::Failed(if error.is_unsent() { "unreachable" } else { "broken" }.into()),
    }
}

/// Reads a stream of events to its end, and checks for an error event and the end marker.
async fn read_stream(response: ::backend::StreamingResponse, started: Instant) -> End {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return End::Failed("cut".into()) };
        if let Ok(data) = frame.into_data() {
            text.extend_from_slice(&data);
            first.get_or_insert_with(|| started.elapsed());
        }
    }
    let text = String::from_utf8_lossy(&text);
    if let Some((_, error)) = text.split_once("event: error") {
        let cause = error.lines().find_map(|line| line.strip_prefix("data:"));
        return End::Failed(cause.map_or_else(|| "error".into(), problem_type));
    }
    if !text.contains(wire::DONE) {
        return End::Failed("cut".into());
    }
    let tokens = text.matches("data:").count().saturating_sub(1);
    let Some(first) = first else { return End::Failed("empty".into()) };
    let gaps = u32::try_from(tokens.saturating_sub(1).max(1)).unwrap_or(u32::MAX);
    End::Answered { first, between: (started.elapsed() - first) / gaps }
}

async fn cause(response: ::backend::StreamingResponse) -> String {
    let status = response.status();
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body = body.unwrap_or_default();
    match std::str::from_utf8(&body) {
        Ok(text) if !text.is_empty() => problem_type(text),
        _ => status.to_string(),
    }
}

/// Returns the `type` of a problem document, or `unknown`.
fn problem_type(text: &str) -> String {
    let problem: Value = serde_json::from_str(text.trim()).unwrap_or_default();
    problem["type"].as_str().map_or_else(|| "unknown".into(), str::to_owned)
}
