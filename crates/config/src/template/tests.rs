use yare::parameterized;

use crate::{Severity, Template};

const VALID: &str = "
service: swap-desk
defaults:
  timeout_ms: 800
teams:
  garden-north:
    timeout_ms: 300
    max_attempts: 1
";

#[test]
fn team_overrides_defaults() {
    let template = Template::parse(VALID).expect("valid template");
    assert_eq!(template.params(Some("garden-north")).timeout_ms, 300);
    assert_eq!(template.params(Some("garden-north")).max_attempts, 1);
    assert_eq!(template.params(Some("unknown-team")).timeout_ms, 800);
    assert_eq!(template.params(None).max_attempts, 2);
}

/// Guards against validation that stops at the first error, so that an operator who corrects one
/// mistake is shown the next.
#[test]
fn all_findings_are_reported_together() {
    let text = "
service: Swap Desk
defaults:
  timeout: 800
teams:
  north:
    max_attempts: 9
";
    let findings = Template::parse(text).expect_err("three errors");
    let paths: Vec<&str> = findings.0.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["service", "defaults.timeout", "teams.north.max_attempts"]);
    assert!(findings.0.iter().all(|f| f.severity == Severity::Error));
    assert!(findings.0[1].message.contains("did you mean `timeout_ms`"));
}

#[parameterized(
    string_for_number = {
        "service: a\ndefaults:\n  timeout_ms: \"800ms\"\n",
        "defaults.timeout_ms",
    },
    out_of_range = { "service: a\ndefaults:\n  timeout_ms: 0\n", "defaults.timeout_ms" },
    missing_service = { "defaults:\n  timeout_ms: 5\n", "service" },
    not_idempotent = {
        "service: a\ndefaults:\n  idempotent_methods: [GET, POST]\n",
        "defaults.idempotent_methods[1]",
    },
    unknown_root_key = { "service: a\nupstream: x\n", "upstream" },
    invalid_balance = { "service: a\ndefaults:\n  balance: random\n", "defaults.balance" },
    invalid_probe_path = { "service: a\ndefaults:\n  probe_path: load\n", "defaults.probe_path" },
    teams_not_map = { "service: a\nteams: [a]\n", "teams" },
)]
fn invalid_input_is_reported_with_its_path(text: &str, path: &str) {
    let findings = Template::parse(text).expect_err("rejected");
    assert!(findings.0.iter().any(|f| f.path == path), "{findings}");
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    let findings = Template::parse("service: [a\n").expect_err("rejected");
    assert!(findings.0[0].path.starts_with("line "), "{findings}");
}

/// Guards against leaving teams unchecked when there are no valid defaults to resolve them over, so
/// that an operator who corrects the defaults is shown further findings.
#[test]
fn teams_are_validated_even_if_the_defaults_are_invalid() {
    let text = "service: 5\ndefaults: {timeout_ms: x}\nteams: {north: {hedge: 3}, south: [1]}\n";
    let findings = Template::parse(text).expect_err("rejected").to_string();
    for path in ["service", "defaults.timeout_ms", "teams.north.hedge", "teams.south"] {
        assert!(findings.contains(path), "{path} missing in {findings}");
    }
}
