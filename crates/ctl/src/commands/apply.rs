//! `apply`: makes the declared configuration equal to files.

use std::{path::Path, time::Duration};

use policy::config::{Outcome, Patch};
use serde_json::json;
use types::config::{Number, NumberedConfig};

use super::{base, diff, status};
use crate::{
    client::Client,
    error::{Code, Error},
    flags::Base,
    report::Report,
};

/// Maximum number of times that a patch is sent. It keeps its ID, so that if a response was lost,
/// the repetition returns the first outcome.
const ATTEMPTS: u32 = 6;

/// Delay before the first repetition of a patch, doubled for each further one. Also the interval at
/// which hosts are polled for the number in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Sends the difference between the files and the configuration in force as one patch. With
/// `wait`, then waits at most this long until it is in force on every live host.
pub(crate) async fn run(
    client: &Client,
    path: &Path,
    against: Option<Base>,
    wait: Option<Duration>,
) -> Result<Report, Error> {
    let wanted = settings::read_config(path)?;
    let stored = base::read(path)?;
    let current: NumberedConfig = client.get("/config").await?;
    let against = match (against, stored) {
        (Some(Base::Current), _) => current.number,
        (Some(Base::Number(number)), _) | (None, Some(number)) => number,
        (None, None) => return Err(Error::NoBase),
    };
    let mut patch = diff::patch(&current, &wanted);
    patch.against = against;
    let outcome = match diff::is_empty(&patch) {
        true => Outcome::Unchanged { number: current.number },
        false => send(client, &patch).await?,
    };
    let Some(number) = outcome.number() else {
        let text = format!("based on number {against}: {}", diff::describe(&outcome));
        return Ok(Report::done(text, json!(outcome)).code(diff::code(&outcome)));
    };
    if stored.is_some() {
        base::write(path, number)?;
    }
    let report = Report::done(diff::describe(&outcome), json!(outcome));
    match wait {
        Some(limit) => wait_until_in_force(client, number, limit, report).await,
        None => Ok(report),
    }
}

/// Sends a patch, repeatedly if hosts do not respond or the object API is unavailable.
async fn send(client: &Client, patch: &Patch) -> Result<Outcome, Error> {
    let mut delay = RETRY_INTERVAL;
    let mut attempt = 1;
    loop {
        let response = match client.post("/config/patches", patch).await {
            Ok(response) => {
                response.json::<Outcome>().map_err(|_| response.require_success().err())
            }
            Err(error) => Err(Some(error)),
        };
        match response {
            Ok(Outcome::Unavailable { .. }) | Err(Some(Error::NoHost(_))) if attempt < ATTEMPTS => {
            }
            Ok(outcome) => return Ok(outcome),
            Err(error) => return Err(error.unwrap_or(Error::NoHost(Vec::new()))),
        }
        attempt += 1;
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

/// Waits until a number is in force on every live host; at the timeout, the report lists the hosts
/// that lack it.
async fn wait_until_in_force(
    client: &Client,
    number: Number,
    limit: Duration,
    report: Report,
) -> Result<Report, Error> {
    let started_at = std::time::Instant::now();
    loop {
        let lacking = status::lacking(client, number).await?;
        if lacking.is_empty() {
            let text = format!("{}\nin force on every live host", report.text);
            return Ok(Report { text, json: with_lacking(report.json, &lacking), ..report });
        }
        if limit <= started_at.elapsed() {
            let names: String = lacking.iter().map(|name| format!("\n  {name}")).collect();
            let text = format!("{}\nnot in force after {limit:?} on{names}", report.text);
            let json = with_lacking(report.json, &lacking);
            return Ok(Report { text, json, code: Code::NotInForce });
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn with_lacking(mut json: serde_json::Value, lacking: &[String]) -> serde_json::Value {
    json["lacking"] = json!(lacking);
    json
}
