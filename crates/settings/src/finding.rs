//! Errors found in a file, each with its location.

use std::{
    fmt,
    path::{Path, PathBuf},
    sync::Arc,
};

use serde::Serialize;

/// A location in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// Path of the file, as given by the caller or found in the directory.
    pub file: Arc<Path>,
    /// Line, counted from one; zero if the location is the whole file.
    pub line: usize,
    /// Column in characters, counted from one; zero if the location is the whole file.
    pub column: usize,
}

impl Place {
    /// Returns the location of a finding about the whole file.
    pub fn of_file(file: &Path) -> Place {
        Place { file: file.into(), line: 0, column: 0 }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file.display()),
            line => write!(f, "{}:{line}:{}", self.file.display(), self.column),
        }
    }
}

/// One error found in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Location of the value at fault, or of the nearest enclosing value that exists.
    #[serde(flatten)]
    pub place: Place,
    /// JSON pointer (RFC 6901) of the value at fault; empty for the whole file.
    pub path: String,
    /// Explanation for the operator, without path and location.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" => write!(f, "{}: {}", self.place, self.message),
            path => write!(f, "{}: {path}: {}", self.place, self.message),
        }
    }
}

/// All errors found; as an error of the readers, sorted by file and line. `Display` prints one line
/// for each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns a single finding about a whole file, such as that it can't be read.
    pub fn of_file(file: &Path, message: impl fmt::Display) -> Findings {
        let place = Place::of_file(file);
        Findings(vec![Finding { place, path: String::new(), message: message.to_string() }])
    }

    /// Sorts by file and line and removes duplicates.
    pub(crate) fn sorted(mut self) -> Findings {
        self.0.sort();
        self.0.dedup();
        self
    }

    /// Returns the value if there are no findings, else the sorted findings.
    pub(crate) fn or_value<T>(self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() { Ok(value) } else { Err(self.sorted()) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index != 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Reads a file; an I/O error becomes a finding about the whole file.
pub(crate) fn read_bytes(file: &Path) -> Result<Vec<u8>, Findings> {
    std::fs::read(file).map_err(|error| Findings::of_file(file, format!("can't be read: {error}")))
}

/// Lists the JSON files of a directory and its subdirectories, sorted by name, or only the path
/// itself if it isn't a directory. Files and directories whose name starts with a dot are skipped.
pub(crate) fn json_files(path: &Path) -> Result<Vec<PathBuf>, Findings> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let unreadable = |error| Findings::of_file(path, format!("can't be listed: {error}"));
    let entries = std::fs::read_dir(path)
        .and_then(|entries| entries.collect::<Result<Vec<_>, _>>())
        .map_err(unreadable)?;
    let mut paths: Vec<PathBuf> = entries.into_iter().map(|entry| entry.path()).collect();
    paths.sort();
    let mut files = Vec::new();
    for entry in paths.into_iter().filter(|path| !is_hidden(path)) {
        if entry.is_dir() {
            files.extend(json_files(&entry)?);
        } else if entry.extension().is_some_and(|extension| extension == "json") {
            files.push(entry);
        }
    }
    Ok(files)
}

fn is_hidden(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name.as_encoded_bytes().starts_with(b"."))
}
