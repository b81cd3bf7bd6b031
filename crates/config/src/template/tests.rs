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

const DIGEST: &str = "blake3-128:00112233445566778899aabbccddeeff";

#[test]
fn keys_priority_and_quota_of_a_team() {
    let text = format!(
        "service: a\nteams:\n  north: {{keys: [\"{DIGEST}\"], priority: 2, rate_per_s: 2.5}}\n  south: {{}}\n"
    );
    let template = Template::parse(&text).expect("valid template");
    let north = template.access.by_name("north").expect("listed");
    assert_eq!((north.keys.len(), north.priority), (1, 2));
    assert_eq!(north.quota, Some(team::Quota { rate_per_s: 2.5, burst: 2.5 }));
    assert!(template.access.by_name("south").is_some_and(|south| south.keys.is_empty()));
}

#[test]
fn without_keys_callers_name_their_team() {
    assert!(Template::parse(VALID).expect("valid template").access.is_empty());
}

#[parameterized(
    negative_rate = { "keys: [D], rate_per_s: -1", "teams.north.rate_per_s" },
    burst_below_one = { "keys: [D], rate_per_s: 5, burst: 0.5", "teams.north.burst" },
    burst_without_rate = { "keys: [D], burst: 5", "teams.north.burst" },
    quota_without_key = { "rate_per_s: 5", "teams.north.rate_per_s" },
    shared_key = { "keys: [D]}\n  south: {keys: [D]", "teams.south.keys" },
    key_in_clear = { "keys: [c2VjcmV0LWtleQ]", "teams.north.keys[0]" },
)]
fn invalid_access_is_reported_with_its_path(fields: &str, path: &str) {
    let text = format!("service: a\nteams:\n  north: {{{fields}}}\n")
        .replace('D', &format!("\"{DIGEST}\""));
    let findings = Template::parse(&text).expect_err("rejected");
    assert!(findings.0.iter().any(|f| f.path == path), "{findings}");
    assert!(!findings.to_string().contains("c2VjcmV0LWtleQ"), "{findings}");
}
