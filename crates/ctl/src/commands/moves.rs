//! Shows loads and unloads.

use serde_json::Value;

use crate::{
    client::Client,
    error::Error,
    report::{Report, table_of},
};

/// A line for each move that a host knows of, as it tells them.
pub(crate) async fn run(client: &Client) -> Result<Report, Error> {
    let json: Value = client.get("/moves").await?;
    let moves = json["moves"].as_array().or_else(|| json.as_array());
    let text = match moves {
        Some(moves) if moves.is_empty() => "no moves".into(),
        Some(moves) => table_of(moves),
        None => format!("{json:#}"),
    };
    Ok(Report::done(text, json))
}
