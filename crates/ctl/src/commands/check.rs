//! `check`: checks files without contacting a host.

use std::path::Path;

use serde_json::json;

use crate::{error::Error, report::Report};

/// Reads files and counts what they declare. If there are findings, the error contains all of them.
pub(crate) fn run(path: &Path) -> Result<Report, Error> {
    let config = settings::read_config(path)?;
    let adapters: usize = config.models.values().map(|model| model.adapters.len()).sum();
    let text = format!(
        "no findings: {} customers, {} models, {adapters} adapters, {} services",
        config.customers.len(),
        config.models.len(),
        config.services.len()
    );
    Ok(Report::done(text, json!({"findings": []})))
}
