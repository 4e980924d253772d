//! Tests of reading and writing the declared configuration, as one file or as a directory.

use std::path::Path;

use rstest::rstest;
use settings::{Findings, config::to_text, read_config, write_config};
use types::config::Config;

/// Creates a temporary directory that contains these files.
fn directory(files: &[(&str, &str)]) -> tempfile::TempDir {
    let directory = tempfile::tempdir().unwrap();
    for (name, text) in files {
        let path = directory.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
    directory
}

fn read(files: &[(&str, &str)]) -> Result<Config, Findings> {
    read_config(directory(files).path())
}

/// Reads the files and returns the findings as `file:line path message`.
fn found(files: &[(&str, &str)]) -> Vec<String> {
    let findings = read(files).unwrap_err();
    findings
        .0
        .iter()
        .map(|finding| {
            let file = finding.place.file.file_name().unwrap().to_string_lossy();
            format!("{file}:{} {} {}", finding.place.line, finding.path, finding.message)
        })
        .collect()
}

const WEIGHTS: &str = r#"{"weights": {"attainment": 1, "moves": 1}}"#;
const CUSTOMERS: &str = r#"{"customers": {"guests": {"share": 2}}}"#;
const MODELS: &str = r#"{"models": {"welcome": {"group": "lm", "version": "1", "memory": 100}}}"#;
const SERVICES: &str = r#"{"services": {"lobby": {
  "customer": "guests",
  "offer": {"models": ["welcome"]},
  "target": {"first_token_ms": 800}
}}}"#;

#[test]
fn a_directory_is_the_sum_of_its_files() {
    let parts = [("c.json", CUSTOMERS), ("sub/m.json", MODELS), ("s.json", SERVICES)];
    let config = read(&parts).unwrap();
    assert_eq!((config.customers.len(), config.models.len(), config.services.len()), (1, 1, 1));

    let ignored = [("notes.txt", "not JSON"), (".hidden.json", "not JSON")];
    assert_eq!(read(&[&parts[..], &ignored[..]].concat()).unwrap(), config);
}

#[test]
fn a_section_may_be_spread_over_files() {
    let other = MODELS.replace("welcome", "terms");
    let config = read(&[("a.json", MODELS), ("b.json", &other)]).unwrap();
    assert_eq!(config.models.keys().map(|id| &**id).collect::<Vec<_>>(), ["terms", "welcome"]);
}

#[rstest]
#[case::entry(MODELS, MODELS, "/models/welcome")]
#[case::weights(WEIGHTS, WEIGHTS, "/weights")]
fn what_two_files_declare_is_a_finding(
    #[case] first: &str,
    #[case] second: &str,
    #[case] path: &str,
) {
    let found = found(&[("a.json", first), ("b.json", second)]);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with(&format!("b.json:1 {path} given twice, first at")), "{found:#?}");
    assert!(found[0].contains("a.json:1:"), "{found:#?}");
}

#[test]
fn findings_of_all_files_and_all_kinds_come_together() {
    let services = r#"{"services": {"lobby": {
  "customer": "gusts",
  "offer": {"models": ["welcome", "welcom", "welcome"]},
  "priority": "most-urgent",
  "target": {"first_token_ms": 0},
  "non_idempotent": ["post"],
  "share": 0
}, "bad name": {
  "customer": "guests",
  "offer": {"plain": "lm"},
  "target": {}
}}}"#;
    let models = MODELS.replace("100", "0");
    let found = found(&[("c.json", CUSTOMERS), ("m.json", &models), ("s.json", services)]);
    let expected = [
        "m.json:1 /models/welcome/memory must be positive",
        "s.json:2 /services/lobby/customer no customer `gusts` is declared",
        "s.json:3 /services/lobby/offer/models/1 no model `welcom` is declared",
        "s.json:3 /services/lobby/offer/models/2 model `welcome` is named twice",
        "s.json:4 /services/lobby/priority unknown variant `most-urgent`, expected one of",
        "s.json:5 /services/lobby/target/first_token_ms must be positive",
        "s.json:6 /services/lobby/non_idempotent/0 no method `post`",
        "s.json:7 /services/lobby/share must be positive",
        "s.json:8 /services/bad name a name has letters",
        "s.json:10 /services/bad name/offer/plain `lm` holds model `welcome`",
        "s.json:11 /services/bad name/target/first_token_ms missing",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found:?} is not {expected:?}");
    }
}

#[test]
fn names_in_a_file_that_does_not_parse_do_not_dangle() {
    let found = found(&[("c.json", CUSTOMERS), ("m.json", "{"), ("s.json", SERVICES)]);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with("m.json:1  not JSON"), "{found:#?}");
}

#[rstest]
#[case::two_offers(r#"{"models": ["m"], "plain": "p"}"#, "an object with 2 members")]
#[case::no_offer(r#"{}"#, "an object with 0 members")]
#[case::bare_name(r#""models""#, "`models` needs a value")]
#[case::unknown_offer(r#"{"plian": "p"}"#, "unknown variant `plian`")]
#[case::list(r#"[1]"#, "invalid type: sequence, expected one of `models`, `plain`")]
#[case::no_models(r#"{"models": []}"#, "must name a model")]
fn faults_of_an_offer(#[case] offer: &str, #[case] message: &str) {
    let services = SERVICES.replace(r#"{"models": ["welcome"]}"#, offer);
    let found = found(&[("c.json", CUSTOMERS), ("s.json", &services)]);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with("s.json:3 /services/lobby/offer"), "{found:#?}");
    assert!(found[0].contains(message), "{found:#?}");
}

#[test]
fn a_directory_without_json_is_a_finding() {
    assert!(read(&[("a.txt", "")]).unwrap_err().to_string().ends_with("holds no JSON file"));
}

#[rstest]
#[case::gulf_south("gulf-south", 14, 40)]
#[case::co_antioquia("co-antioquia", 20, 63)]
fn the_samples_are_good_and_of_the_sizes_of_today(
    #[case] deployment: &str,
    #[case] models: usize,
    #[case] adapters: usize,
) {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings").join(deployment);
    settings::read_process(&sample.join("host.json")).unwrap();
    let config = read_config(&sample.join("config")).unwrap();
    assert_eq!(config.models.len(), models);
    assert_eq!(config.models.values().map(|model| model.adapters.len()).sum::<usize>(), adapters);

    let file = tempfile::NamedTempFile::new().unwrap();
    write_config(file.path(), &config).unwrap();
    assert_eq!(read_config(file.path()).unwrap(), config);
    assert_eq!(std::fs::read_to_string(file.path()).unwrap(), to_text(&config).unwrap());
}
