//! Format of the log's lines. There is only one test, since a process has a single log.

use log::{LevelFilter, debug, info};
use observe::log::{Error, Log, Sink};

#[test]
fn writes_json_lines_and_names_a_file_it_cannot_open() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing-folder\0/log");
    let error = Log::new().sink(Sink::File(missing)).start().unwrap_err();
    assert!(matches!(&error, Error::File { .. }), "{error}");
    assert!(error.to_string().contains("missing-folder"), "{error}");

    let file = folder.path().join("log");
    Log::new().sink(Sink::File(file.clone())).level(LevelFilter::Info).start().unwrap();
    info!(target: "stage", request = "r-1", attempt = 2; "sent \"it\"\non");
    debug!("below the level");

    let text = std::fs::read_to_string(file).unwrap();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 1, "{text}");
    assert_eq!(lines[0]["level"], "INFO");
    assert_eq!(lines[0]["target"], "stage");
    assert_eq!(lines[0]["message"], "sent \"it\"\non");
    assert_eq!(lines[0]["attributes"]["request"], "r-1");
    assert_eq!(lines[0]["attributes"]["attempt"], "2");
    assert!(lines[0]["time"].is_string());

    let second = Log::new().start().unwrap_err();
    assert!(matches!(second, Error::Running(_)), "{second}");
}
