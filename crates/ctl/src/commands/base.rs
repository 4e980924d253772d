//! Storage of the number that configuration files are based on.
//!
//! For a directory it is in the hidden file `.number` inside it; for a file, in a file next to it
//! with `.number` appended to the name. Neither is read as a part of the configuration. It can be
//! kept in version control with the files.

use std::path::{Path, PathBuf};

use types::config::Number;

use crate::error::Error;

const FILE_NAME: &str = ".number";

/// Reads the number that is stored for the file or directory at `path`, if there is one.
pub(super) fn read(path: &Path) -> Result<Option<Number>, Error> {
    let file = number_file(path);
    match std::fs::read_to_string(&file) {
        Ok(text) => text.trim().parse().map(Some).map_err(|_| Error::NoBase),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(Error::File { file, cause }),
    }
}

/// Stores a number for the file or directory at `path`.
pub(super) fn write(path: &Path, number: Number) -> Result<(), Error> {
    let file = number_file(path);
    std::fs::write(&file, format!("{number}\n")).map_err(|cause| Error::File { file, cause })
}

fn number_file(path: &Path) -> PathBuf {
    if path.is_dir() {
        return path.join(FILE_NAME);
    }
    let mut name = path.as_os_str().to_owned();
    name.push(FILE_NAME);
    name.into()
}
