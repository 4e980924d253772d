//! HTTP calls to hosts, and parsers of their answers and event streams.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

use super::TIMEOUT;

/// A response whose body has been read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends a request over a new connection; `None` if the connection breaks or a wait times out.
pub async fn try_send(
    address: SocketAddr,
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut request = http::Request::builder().method(method).uri(format!("http://{address}{uri}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request =
        request.body(Full::new(Bytes::from(body.to_owned()))).expect("the request is valid");
    let response = tokio::time::timeout(TIMEOUT, client.request(request)).await.ok()?.ok()?;
    let (parts, body) = response.into_parts();
    let body = tokio::time::timeout(TIMEOUT, body.collect()).await.ok()?.ok()?.to_bytes();
    Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// As [`try_send`], but panics without an answer.
pub async fn send(
    address: SocketAddr,
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    try_send(address, method, uri, headers, body).await.expect("the host answers")
}

pub async fn post_chat(address: SocketAddr, body: &Value) -> Answer {
    send(address, "POST", "/v1/chat/completions", &[], &body.to_string()).await
}

pub async fn get(address: SocketAddr, uri: &str) -> Option<Value> {
    Some(try_send(address, "GET", uri, &[], "").await?.json())
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub id: Option<u64>,
    pub data: String,
}

/// Parses an event stream; blocks without a `data` field are left out.
pub fn events(text: &str) -> Vec<Event> {
    let field = |block: &str, name: &str| {
        block.lines().find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
    };
    text.split("\n\n")
        .filter_map(|block| {
            let data = field(block, "data:")?;
            Some(Event { id: field(block, "id:").and_then(|id| id.parse().ok()), data })
        })
        .collect()
}

/// Joins the `content` of all chat chunks; other events are left out.
pub fn answer_text(events: &[Event]) -> String {
    events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(&event.data).ok())
        .filter_map(|data| Some(data["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}
