//! What a host shows to operators.

use observe::event::Record;

use super::{Process, send};

/// All metrics of a host, as text.
pub async fn metrics(host: &Process) -> String {
    send(host.operators(), "GET", "/metrics", &[], "").await.text()
}

/// The value of the first series that begins so; zero if there is none.
pub fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(series));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// A host's part of the time line, narrowed by a query.
pub async fn records(host: &Process, query: &str) -> Vec<Record> {
    let uri = format!("/timeline?{query}");
    let answer = send(host.operators(), "GET", &uri, &[], "").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.text().lines().map(|line| serde_json::from_str(line).expect("a record")).collect()
}
