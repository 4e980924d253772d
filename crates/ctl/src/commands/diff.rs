//! `diff`: shows what applying files would change.

use std::path::Path;

use policy::config::{Outcome, Patch, merge};
use serde_json::json;
use similar::TextDiff;
use types::config::{Config, NumberedConfig};
use uuid::Uuid;

use crate::{
    client::Client,
    error::{Code, Error},
    report::Report,
};

/// Number of unchanged lines shown before and after a change.
const CONTEXT_LINES: usize = 3;

/// Compares files with the configuration in force and asks a host whether it would accept the
/// change.
pub(crate) async fn run(client: &Client, path: &Path) -> Result<Report, Error> {
    let wanted = settings::read_config(path)?;
    let current: NumberedConfig = client.get("/config").await?;
    let patch = patch(&current, &wanted);
    if is_empty(&patch) {
        let text = format!("no difference to number {}", current.number);
        return Ok(Report::done(text, json!({"number": current.number, "changes": {}})));
    }
    let outcome: Outcome = client.post("/config/check", &patch).await?.json()?;
    let lines = unified_diff(&current, &wanted)?;
    let text = format!("{lines}\nagainst number {}: {}", current.number, describe(&outcome));
    let json = json!({"number": current.number, "changes": patch.changes, "check": outcome});
    Ok(Report::done(text, json).code(code(&outcome)))
}

/// Creates a patch, with a new ID, that turns the configuration in force into the wanted one.
pub(super) fn patch(current: &NumberedConfig, wanted: &Config) -> Patch {
    Patch {
        id: Uuid::new_v4().to_string().into(),
        against: current.number,
        // The weights were checked to be finite, so JSON can represent the whole configuration.
        changes: merge::changes(&current.config, wanted).unwrap_or_default(),
    }
}

/// Whether a patch changes nothing.
pub(super) fn is_empty(patch: &Patch) -> bool {
    patch.changes.as_object().is_some_and(|changes| changes.is_empty())
}

/// Describes an outcome for people.
pub(super) fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted { number } => format!("accepted as number {number}"),
        Outcome::Repeated { number } => format!("accepted before as number {number}"),
        Outcome::Unchanged { number } => format!("nothing changes at number {number}"),
        Outcome::Stale(stale) if stale.clashes.is_empty() => {
            format!("refused: the number is {} by now; nothing clashes", stale.current)
        }
        Outcome::Stale(stale) => {
            let paths = lines(&stale.clashes);
            format!("refused: the number is {} by now, and others changed{paths}", stale.current)
        }
        Outcome::Reused => "refused: another patch has this name".into(),
        Outcome::Invalid { problems } => {
            let messages =
                problems.iter().map(|problem| format!("{}: {}", problem.path, problem.message));
            format!("refused: not a configuration{}", lines(messages))
        }
        Outcome::Short { shortages } => format!("refused: memory is short{}", lines(shortages)),
        Outcome::Unavailable { cause } => format!("failed: {cause}"),
    }
}

/// Maps an outcome to an exit code.
pub(super) fn code(outcome: &Outcome) -> Code {
    match outcome {
        Outcome::Accepted { .. } | Outcome::Repeated { .. } | Outcome::Unchanged { .. } => {
            Code::Done
        }
        Outcome::Stale(_) | Outcome::Reused => Code::Stale,
        Outcome::Invalid { .. } | Outcome::Short { .. } => Code::Refused,
        Outcome::Unavailable { .. } => Code::Failed,
    }
}

fn lines<T: std::fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    items.into_iter().map(|item| format!("\n  {item}")).collect()
}

fn unified_diff(current: &NumberedConfig, wanted: &Config) -> Result<String, Error> {
    let text = |config: &Config| {
        settings::config::to_text(config)
            .map_err(|cause| Error::File { file: "configuration".into(), cause })
    };
    let (old, new) = (text(&current.config)?, text(wanted)?);
    let diff = TextDiff::from_lines(&old, &new);
    let header = (format!("number {}", current.number), "files".to_owned());
    let mut unified = diff.unified_diff();
    Ok(unified.context_radius(CONTEXT_LINES).header(&header.0, &header.1).to_string())
}
