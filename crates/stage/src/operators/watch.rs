//! Observability for operators: metrics, and this host's part of the time line.

use std::sync::Arc;

use axum::{
    extract::{Query, State},
    http::{StatusCode, header},
    response::{Html, IntoResponse, Response},
};
use observe::{
    clock::Stamp,
    event::Record,
    merge::{self, Filter},
    metrics, page,
};
use serde::Deserialize;

use crate::context::Context;

const JSON_LINES: &str = "application/jsonl";

/// Returns all metrics as Prometheus text.
pub(super) async fn metrics(State(context): State<Arc<Context>>) -> Response {
    context.traffic.record_limits(&context.metrics);
    match context.metrics.text() {
        Ok(text) => ([(header::CONTENT_TYPE, metrics::CONTENT_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

/// Output format of the time line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Format {
    /// One JSON object per line, the input format for merging several hosts' time lines.
    #[default]
    Json,
    /// One line of text for each event.
    Text,
    /// An HTML page.
    Page,
}

/// Query of the time line. Without any filter it selects all events. Times are RFC 3339 text.
#[derive(Debug, Default, Deserialize)]
pub(super) struct TimelineQuery {
    request: Option<String>,
    model: Option<String>,
    server: Option<String>,
    from: Option<String>,
    until: Option<String>,
    #[serde(default)]
    form: Format,
}

impl TimelineQuery {
    fn filter(&self) -> Result<Filter, String> {
        let mut filter = Filter::default();
        if let Some(id) = &self.request {
            filter = filter.request(id.as_str().into());
        }
        if let Some(id) = &self.model {
            filter = filter.model(id.as_str().into());
        }
        if let Some(id) = &self.server {
            filter = filter.server(id.as_str().into());
        }
        if let Some(text) = &self.from {
            filter = filter.from(stamp(text)?);
        }
        if let Some(text) = &self.until {
            filter = filter.until(stamp(text)?);
        }
        Ok(filter)
    }
}

fn stamp(text: &str) -> Result<Stamp, String> {
    Stamp::parse(text).ok_or_else(|| format!("`{text}` is not an RFC 3339 time"))
}

/// Returns the events that this host has in memory.
pub(super) async fn timeline(
    State(context): State<Arc<Context>>,
    Query(query): Query<TimelineQuery>,
) -> Response {
    let filter = match query.filter() {
        Ok(filter) => filter,
        Err(cause) => return (StatusCode::BAD_REQUEST, cause).into_response(),
    };
    let records: Vec<Record> =
        context.events.records().into_iter().filter(|record| filter.keeps(record)).collect();
    match query.form {
        Format::Json => json(&records),
        Format::Text => lines(records.iter().map(merge::line)).into_response(),
        Format::Page => Html(page::render(&records)).into_response(),
    }
}

fn json(records: &[Record]) -> Response {
    match records.iter().map(merge::json_line).collect::<Result<Vec<String>, _>>() {
        Ok(text) => ([(header::CONTENT_TYPE, JSON_LINES)], lines(text)).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

fn lines(lines: impl IntoIterator<Item = String>) -> String {
    lines.into_iter().map(|line| line + "\n").collect()
}
