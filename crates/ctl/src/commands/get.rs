//! `get`: prints the declared configuration in force, or writes it to files.

use std::path::Path;

use serde_json::{Value, json};
use types::config::{Config, NumberedConfig};

use super::base;
use crate::{client::Client, error::Error, report::Report};

/// Prints the configuration in force. With a path, writes it there and stores its number beside it.
pub(crate) async fn run(client: &Client, to: Option<&Path>) -> Result<Report, Error> {
    let current: NumberedConfig = client.get("/config").await?;
    let Some(path) = to else {
        return Ok(Report::done(text(&current.config)?, json!(current)));
    };
    match path.is_dir() {
        true => write_sections(path, &current.config)?,
        false => settings::write_config(path, &current.config)
            .map_err(|cause| Error::File { file: path.into(), cause })?,
    }
    base::write(path, current.number)?;
    let text = format!("number {} written to {}", current.number, path.display());
    Ok(Report::done(text, json!({"number": current.number})))
}

fn text(config: &Config) -> Result<String, Error> {
    settings::config::to_text(config)
        .map_err(|cause| Error::File { file: "standard output".into(), cause })
}

/// Writes a file for each section of the configuration into a directory.
fn write_sections(directory: &Path, config: &Config) -> Result<(), Error> {
    let Value::Object(sections) = json!(config) else { return Ok(()) };
    for (name, section) in sections {
        let file = directory.join(format!("{name}.json"));
        let text = format!("{:#}\n", json!({ name: section }));
        std::fs::write(&file, text).map_err(|cause| Error::File { file, cause })?;
    }
    Ok(())
}
