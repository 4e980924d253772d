//! Tests that reading process settings reports all findings together, each with path, line and
//! column.

use std::path::Path;

use rstest::rstest;
use settings::read_process;

const GOOD: &str = r#"{
  "host": {
    "id": "a",
    "zone": "mobile-hall",
    "callers": "127.0.0.1:7080",
    "peers": "127.0.0.1:7081",
    "operators": "127.0.0.1:7082"
  },
  "platform": "127.0.0.1:7070"
}"#;

/// Reads settings and returns a line for each finding, without the name of the file.
fn findings(text: &str) -> Vec<String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let prefix = format!("{}:", file.path().display());
    match read_process(file.path()) {
        Ok(_) => Vec::new(),
        Err(findings) => findings
            .to_string()
            .lines()
            .map(|line| line.strip_prefix(&prefix).unwrap_or(line).to_owned())
            .collect(),
    }
}

#[test]
fn good_settings_have_no_findings() {
    assert_eq!(findings(GOOD), Vec::<String>::new());
}

#[test]
fn all_findings_come_together_with_path_line_and_column() {
    let text = r#"{
  "host": {
    "id": "",
    "zoen": "mobile-hall",
    "callers": "127.0.0.1:7080",
    "peers": "127.0.0.1:7080",
    "operators": "10.0.0.1:7082",
    "operators": "10.0.0.2:7082"
  },
  "platform": "nowhere",
  "bounds": { "head_bytes": -1, "body_bytes": 0 },
  "intervals": { "list_ms": "soon" },
  "log": { "level": "loud" }
}"#;
    let expected = [
        "2:11: /host/zone: missing",
        "3:5: /host/id: must not be empty",
        "4:5: /host/zoen: unknown field `zoen`, expected one of",
        "6:5: /host/peers: 127.0.0.1:7080 is taken by /host/callers",
        "8:5: /host/operators: given twice, first at",
        "10:15: /platform: invalid socket address syntax",
        "11:29: /bounds/head_bytes: invalid value: integer `-1`, expected usize",
        "11:33: /bounds/body_bytes: must be positive",
        "12:29: /intervals/list_ms: invalid type: string \"soon\", expected u64",
        "13:12: /log/level: no level `loud`",
    ];
    let found = findings(text);
    for line in expected {
        assert!(found.iter().any(|f| f.starts_with(line)), "no {line:?} in {found:#?}");
    }
    let token = "/operators_token: missing, though 10.0.0.1:7082 isn't loopback";
    assert!(found.iter().any(|f| f.contains(token)), "{found:#?}");
    assert_eq!(found.len(), expected.len() + 1, "{found:#?}");
}

#[rstest]
#[case::cut_off("{\"host\": {", "1:10: not JSON: EOF while parsing an object")]
#[case::trailing_comma("{\n \"platform\": 1,\n}", "3:1: not JSON: trailing comma")]
#[case::empty("", "1:0: not JSON: EOF while parsing a value")]
#[case::a_list("[]", "1:1: invalid type: sequence, expected an object")]
#[case::number_for_object(
    "{\"host\": 3, \"platform\": \"127.0.0.1:1\"}",
    "1:10: /host: invalid type: number, expected an object"
)]
fn faults_of_form(#[case] text: &str, #[case] expected: &str) {
    let found = findings(text);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with(expected), "{found:#?}");
}

#[test]
fn a_value_that_could_not_be_read_is_not_compared_with_others() {
    let bounds = |request: &str| {
        GOOD.replacen('{', &format!("{{ \"bounds\": {{\"request_ms\": {request}}},"), 1)
    };
    assert!(findings(&bounds("10"))[0].contains("/bounds/idle_ms: longer than"));
    let found = findings(&bounds("\"x\""));
    assert_eq!(found.len(), 1, "{found:#?}");
}

#[rstest]
#[case::operators("operators", "operators_token")]
#[case::peers("peers", "peers_token")]
fn a_listener_off_loopback_needs_a_token(#[case] listener: &str, #[case] token: &str) {
    let line = GOOD.lines().find(|line| line.contains(listener)).unwrap();
    let open = GOOD.replace(line, &line.replace("127.0.0.1", "10.0.0.1"));
    assert_eq!(findings(&open).len(), 1);
    assert!(findings(&open)[0].contains(&format!("/{token}: missing")));

    let with_token = |text: &str| open.replacen('{', &format!("{{ \"{token}\": \"{text}\","), 1);
    assert_eq!(findings(&with_token("a-token-of-32-letters-and-digits")), Vec::<String>::new());
    assert!(findings(&with_token("short"))[0].contains("shorter than 16 characters"));
    assert!(findings(&with_token("a token with spaces inside it"))[0].contains("visible ASCII"));
}

#[test]
fn a_file_that_is_not_there_is_a_finding() {
    let found = read_process(Path::new("/nowhere/settings.json")).unwrap_err().to_string();
    assert!(found.starts_with("/nowhere/settings.json: can't be read: "), "{found}");
}

#[test]
fn bytes_that_are_not_text_are_a_finding() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), b"{\n\"host\": \xff}").unwrap();
    let found = read_process(file.path()).unwrap_err();
    assert_eq!((found.0[0].place.line, found.0[0].place.column), (2, 9));
}

const ROUTED: &str = r#"{
  "host": {
    "id": "a", "zone": "mobile-hall",
    "callers": "127.0.0.1:7080", "peers": "127.0.0.1:7081", "operators": "127.0.0.1:7082"
  },
  "platform": "127.0.0.1:7070",
  "routed": {
    "dialect": "platform",
    "apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "turn_ms": 3000,
    "retry": { "ratio": 0.2, "extra": 52, "window_s": 10 }
  }
}"#;

#[test]
fn good_routed_settings_have_no_findings() {
    assert_eq!(findings(ROUTED), Vec::<String>::new());
    let open = ROUTED.replace("127.0.0.1:708", "10.0.0.1:708");
    assert_eq!(findings(&open), Vec::<String>::new(), "a routed host needs no tokens off loopback");
}

/// A host may learn of a removed key as late as `apply_ms` after it.
#[rstest]
#[case::as_long_as_a_declaration_may_take(r#"{ "strict": true, "within_ms": 2000 }"#, 0)]
#[case::shorter(r#"{ "strict": true, "within_ms": 1999 }"#, 1)]
#[case::shorter_without_effect(r#"{ "strict": false, "within_ms": 1999 }"#, 0)]
#[case::by_default(r#"{ "strict": true }"#, 0)]
#[case::unknown_field(r#"{ "strict": true, "after_ms": 1 }"#, 1)]
#[case::no_flag(r#"{ "strict": "yes" }"#, 1)]
fn the_time_to_end_requests_of_a_removed_key_is_checked(
    #[case] revocation: &str,
    #[case] number: usize,
) {
    let with = format!("\"turn_ms\": 3000, \"revocation\": {revocation}");
    let found = findings(&ROUTED.replace("\"turn_ms\": 3000", &with));
    assert_eq!(found.len(), number, "{found:#?}");
    assert!(found.iter().all(|found| found.contains("/routed/revocation/")), "{found:#?}");
}

#[test]
fn all_findings_of_routed_settings_come_together() {
    let text = r#"{
  "host": {
    "id": "a", "zone": "mobile-hall",
    "callers": "127.0.0.1:7080", "peers": "127.0.0.1:7081", "operators": "127.0.0.1:7082"
  },
  "platform": "127.0.0.1:7070",
  "planning": { "adapters_at_once": -1 },
  "bounds": { "head_bytes": 4200.5 },
  "routed": {
    "dialect": "morse",
    "apply_ms": 0,
    "drain_ms": 0,
    "grace_s": "long",
    "heart_ms": 1200,
    "retry": { "ratio": -0.2, "extra": -1, "window_s": 0, "burst": 3 }
  }
}"#;
    let expected = [
        "7:37: /planning/adapters_at_once: invalid value: integer `-1`",
        "8:29: /bounds/head_bytes: invalid type: floating point `4200.5`",
        "9:13: /routed/turn_ms: missing",
        "10:16: /routed/dialect: unknown variant `morse`, expected `platform`",
        "11:5: /routed/apply_ms: must be positive",
        "12:5: /routed/drain_ms: must be positive",
        "13:16: /routed/grace_s: invalid type: string \"long\"",
        "14:5: /routed/heart_ms: unknown field `heart_ms`, expected one of",
        "15:16: /routed/retry/ratio: must not be negative",
        "15:31: /routed/retry/extra: must not be negative",
        "15:44: /routed/retry/window_s: must be positive",
        "15:59: /routed/retry/burst: unknown field `burst`",
    ];
    let found = findings(text);
    for line in expected {
        assert!(found.iter().any(|f| f.starts_with(line)), "no {line:?} in {found:#?}");
    }
    assert_eq!(found.len(), expected.len(), "{found:#?}");
}

#[rstest]
#[case::no_turn("\"turn_ms\": 3000", "\"turn_ms\": 0", "/routed/turn_ms")]
#[case::no_grace("\"grace_s\": 8", "\"grace_s\": 0", "/routed/grace_s")]
#[case::no_time_to_revoke(
    "\"turn_ms\": 3000",
    "\"turn_ms\": 3000, \"revocation\": { \"strict\": true, \"within_ms\": 0 }",
    "/routed/revocation/within_ms"
)]
#[case::no_adapters_under_way(
    "\"routed\": {",
    "\"planning\": { \"adapters_at_once\": 0 }, \"routed\": {",
    "/planning/adapters_at_once"
)]
fn a_bound_that_leaves_nothing_is_a_finding(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] path: &str,
) {
    let found = findings(&ROUTED.replace(good, bad));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains(&format!("{path}: must be positive")), "{found:#?}");
}
