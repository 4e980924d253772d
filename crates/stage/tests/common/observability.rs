//! Metrics and timeline records read from a host's operators listener.

use observe::event::Record;

use super::{Process, send};

/// Reads all metrics of a host in the text format.
pub async fn metrics(host: &Process) -> String {
    send(host.operators(), "GET", "/metrics", &[], "").await.text()
}

/// Value of the first line that starts with `series`; 0 if there is none.
pub fn metric_value(text: &str, series: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(series));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Reads a host's timeline records that match a query string, such as `request=ID`.
pub async fn records(host: &Process, query: &str) -> Vec<Record> {
    let uri = format!("/timeline?{query}");
    let answer = send(host.operators(), "GET", &uri, &[], "").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer
        .text()
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is a record"))
        .collect()
}
