use http::{HeaderMap, HeaderValue};

use crate::{identify, Caller, KeyDigest, Team, TeamError, Teams, Unauthorized};

fn team(name: &str, keys: &[&str]) -> Team {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Team { name: name.into(), keys, priority: 1, quota: None }
}

fn teams() -> Teams {
    let teams = vec![team("north", &["aaaa1111", "bbbb2222"]), team("south", &["cccc3333"])];
    Teams::new(teams, ["open".into()]).unwrap()
}

fn with(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("authorization", HeaderValue::from_str(value).unwrap());
    }
    headers
}

fn name_of(caller: Result<Caller, Unauthorized>) -> Result<String, Unauthorized> {
    caller.map(|caller| match caller {
        Caller::Team(team, _) => team.name.to_string(),
        Caller::Anonymous => "-".to_owned(),
    })
}

#[yare::parameterized(
    plain = { &["Bearer aaaa1111"], Ok("north") },
    second_key = { &["Bearer bbbb2222"], Ok("north") },
    scheme_in_any_case = { &["bEARER cccc3333"], Ok("south") },
    more_spaces = { &["Bearer   cccc3333 "], Ok("south") },
    missing = { &[], Err(Unauthorized::Missing) },
    doubled = { &["Bearer aaaa1111", "Bearer aaaa1111"], Err(Unauthorized::Malformed) },
    empty = { &["Bearer "], Err(Unauthorized::Malformed) },
    no_scheme = { &["aaaa1111"], Err(Unauthorized::Malformed) },
    other_scheme = { &["Basic aaaa1111"], Err(Unauthorized::Malformed) },
    two_keys = { &["Bearer aaaa1111, Bearer cccc3333"], Err(Unauthorized::Malformed) },
    other_case = { &["Bearer AAAA1111"], Err(Unauthorized::Unknown(KeyDigest::of(b"AAAA1111"))) },
)]
fn a_key_identifies_its_team(values: &[&str], expected: Result<&str, Unauthorized>) {
    let found = name_of(identify(&teams(), "claims", &with(values)));
    assert_eq!(found, expected.map(str::to_owned));
}

#[yare::parameterized(
    no_key = { &[], "-" },
    unknown_key = { &["Bearer dddd4444"], "-" },
    known_key = { &["Bearer cccc3333"], "south" },
)]
fn an_open_route_needs_no_key(values: &[&str], expected: &str) {
    assert_eq!(name_of(identify(&teams(), "open", &with(values))), Ok(expected.to_owned()));
}

/// Guards against a request that is counted for whichever of two teams was listed last.
#[test]
fn two_teams_cannot_share_a_key() {
    let shared = vec![team("north", &["aaaa1111"]), team("south", &["aaaa1111"])];
    let fingerprint = KeyDigest::of(b"aaaa1111").to_string();
    let expected = TeamError::SharedKey("north".into(), "south".into(), fingerprint);
    assert_eq!(Teams::new(shared, []), Err(expected));
}

/// Guards against requests that go out without their team's name, or with that of another team: a
/// header holds no control characters, and blanks at its ends are stripped.
#[yare::parameterized(
    empty = { "" },
    blank_at_the_end = { "north " },
    line_break = { "north\r\nx-evil: 1" },
    too_long = { &"n".repeat(201) },
)]
fn names_that_cannot_be_told_to_upstreams_are_refused(name: &str) {
    let refused = Teams::new(vec![team(name, &["aaaa1111"])], []);
    assert!(matches!(refused, Err(TeamError::Name(_))), "{refused:?}");
}

#[test]
fn names_may_have_letters_of_any_language() {
    assert!(Teams::new(vec![team("kalna muzejs \u{101}", &["aaaa1111"])], []).is_ok());
}

/// Guards against keys in logs and panic messages through `Debug`.
#[test]
fn debug_output_shows_no_key() {
    let headers = with(&["Bearer dddd4444"]);
    let shown = format!("{:?} {:?}", teams(), identify(&teams(), "claims", &headers));
    assert!(!shown.contains("aaaa1111") && !shown.contains("dddd4444"), "{shown}");
}

/// Guards against digesting a value as long as a head may be, for each request of anybody.
#[yare::parameterized(
    longest = { crate::MAX_KEY_BYTES, true },
    too_long = { crate::MAX_KEY_BYTES + 1, false },
)]
fn a_key_has_a_maximum_length(bytes: usize, is_valid: bool) {
    let key = "k".repeat(bytes);
    let teams = Teams::new(vec![team("north", &[key.as_str()])], []).unwrap();
    let found = name_of(identify(&teams, "claims", &with(&[&format!("Bearer {key}")])));
    let expected = if is_valid { Ok("north".to_owned()) } else { Err(Unauthorized::Malformed) };
    assert_eq!(found, expected);
}

/// Guards against records that show keys, or differ between nodes that list keys in another order.
#[test]
fn lines_show_fingerprints_in_a_fixed_order() {
    let of = |keys: &[&str]| {
        let quota = Some(crate::Quota { rate_per_s: 0.5, burst: 2.0 });
        let teams = vec![team("south", &["cccc3333"]), Team { quota, ..team("north", keys) }];
        Teams::new(teams, ["open".into()]).unwrap().lines().collect::<Vec<_>>()
    };
    let lines = of(&["aaaa1111", "bbbb2222"]);
    assert_eq!(lines, of(&["bbbb2222", "aaaa1111"]));
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(
        lines[0].starts_with("team north priority=1 rate_per_s=0.5 burst=2 keys="),
        "{lines:?}"
    );
    assert_eq!(lines[2], "open_route open");
    let fingerprint = KeyDigest::of(b"aaaa1111").to_string();
    assert!(lines[0].contains(&fingerprint) && !lines.concat().contains("1111"), "{lines:?}");
    assert_eq!(Teams::new(Vec::new(), ["open".into()]).unwrap().lines().count(), 0);
}
