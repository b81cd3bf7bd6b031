use team::{DigestText, KeyDigest, Quota};

use super::{edit_team, EditError, TeamEdit};
use crate::Template;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn text_of(key: &str) -> String {
    DigestText(digest(key)).to_string()
}

fn template(keys: &str) -> String {
    format!(
        "service: swap-desk\nteams:\n  # quiet\n  north:\n    timeout_ms: 300 # short\n{keys}  south: {{}}\n"
    )
}

fn keys_of(text: &str, team: &str) -> Vec<KeyDigest> {
    let template = Template::parse(text).unwrap();
    template.access.by_name(team).map_or(Vec::new(), |team| team.keys.clone())
}

#[yare::parameterized(
    no_list = { String::new(), &[] },
    empty_list = { "    keys: []\n".to_owned(), &[] },
    flow_list = { format!("    keys: [{}]\n", text_of("one")), &["one"] },
    block_list = { format!("    keys:\n      - {}\n", text_of("one")), &["one"] },
)]
fn an_added_key_is_the_only_change(keys: String, before: &[&str]) {
    let text = template(&keys);
    let edited = edit_team(&text, "north", &TeamEdit::AddKey(digest("two"))).unwrap();
    let expected: Vec<KeyDigest> = before.iter().chain(&["two"]).map(|key| digest(key)).collect();
    assert_eq!(keys_of(&edited, "north"), expected, "{edited}");
    assert!(edited.contains("# quiet") && edited.contains("# short"), "{edited}");
    let kept = text.lines().filter(|line| !line.contains("keys"));
    assert!(kept.into_iter().all(|line| edited.lines().any(|other| other == line)), "{edited}");
}

#[yare::parameterized(
    flow_list = { format!("    keys: [{}, {}]\n", text_of("one"), text_of("two")) },
    block_list = { format!("    keys:\n      - {}\n      - {}\n", text_of("one"), text_of("two")) },
)]
fn a_revoked_key_is_the_only_change(keys: String) {
    let edit = TeamEdit::RevokeKey(digest("one").to_string());
    let edited = edit_team(&template(&keys), "north", &edit).unwrap();
    assert_eq!(keys_of(&edited, "north"), [digest("two")], "{edited}");
    let last = TeamEdit::RevokeKey(digest("two").to_string());
    let edited = edit_team(&edited, "north", &last).unwrap();
    assert!(!edited.contains("blake3"), "{edited}");
}

#[yare::parameterized(
    new = { "" },
    changed = { "    rate_per_s: 7 # agreed\n    burst: 8\n" },
)]
fn a_quota_is_set(figures: &str) {
    let keys = format!("    keys: [{}]\n{figures}", text_of("one"));
    let quota = Quota { rate_per_s: 2.5, burst: 10.0 };
    let edited = edit_team(&template(&keys), "north", &TeamEdit::SetQuota(quota)).unwrap();
    let template = Template::parse(&edited).unwrap();
    assert_eq!(template.access.by_name("north").unwrap().quota, Some(quota), "{edited}");
}

#[test]
fn a_team_without_entries_gets_its_first_key() {
    let edit = TeamEdit::AddKey(digest("two"));
    let edited = edit_team(&template(""), "south", &edit).unwrap();
    assert_eq!(keys_of(&edited, "south"), [digest("two")], "{edited}");
}

/// Guards against a service that everybody may call once its last key is revoked, and against a
/// last key that cannot be revoked since its team has a quota.
#[test]
fn a_service_without_any_key_left_still_needs_one() {
    let text = template(&format!("    keys: [{}]\n    rate_per_s: 5\n", text_of("one")));
    let edit = TeamEdit::RevokeKey(digest("one").to_string());
    let edited = edit_team(&text, "north", &edit).unwrap();
    let access = Template::parse(&edited).unwrap().access;
    assert!(!access.is_empty(), "{edited}");
    assert!(access.iter().all(|team| team.keys.is_empty()), "{edited}");
}

/// Guards against an edit of a text that it does not understand, which would change something else.
#[test]
fn a_layout_that_cannot_be_edited_is_left_alone() {
    let text = "service: swap-desk\nteams: {north: {timeout_ms: 300}}\n";
    let edit = TeamEdit::AddKey(digest("two"));
    assert_eq!(edit_team(text, "north", &edit), Err(EditError::Layout));
    let unknown = EditError::UnknownTeam("west".to_owned());
    assert_eq!(edit_team(text, "west", &edit), Err(unknown));
}

/// Guards against a key that is reported as added but was written into a comment.
#[test]
fn an_edit_without_the_intended_effect_is_refused() {
    let text = template(&format!("    keys: [{}] # [old]\n", text_of("one")));
    let edit = TeamEdit::AddKey(digest("two"));
    assert_eq!(edit_team(&text, "north", &edit), Err(EditError::Layout));
}

/// Guards against revoking another key than the one that was named.
#[test]
fn a_key_that_the_team_does_not_have_is_not_revoked() {
    let text = template(&format!("    keys: [{}]\n", text_of("one")));
    let edit = TeamEdit::RevokeKey(digest("two").to_string());
    let unknown = EditError::UnknownKey(digest("two").to_string());
    assert_eq!(edit_team(&text, "north", &edit), Err(unknown));
}
