use super::ContentKey;

#[test]
fn equal_parts_have_equal_keys() {
    let key = || ContentKey::of([b"GET".as_slice(), b"/a"]);
    assert_eq!(key(), key());
    assert_eq!(key().to_string().len(), 32);
}

#[yare::parameterized(
    different_part = { &["GET", "/a"], &["GET", "/b"] },
    different_order = { &["a", "b"], &["b", "a"] },
    different_split = { &["ab", "c"], &["a", "bc"] },
    empty_part = { &["a", ""], &["a"] },
)]
fn different_parts_have_different_keys(one: &[&str], other: &[&str]) {
    let key = |parts: &[&str]| ContentKey::of(parts.iter().map(|part| part.as_bytes()));
    assert_ne!(key(one), key(other));
}

#[test]
fn keys_round_trip() {
    let key = ContentKey::of([b"GET".as_slice()]);
    assert_eq!(ContentKey::parse(&key.to_string()), Some(key));
    let json = serde_json::to_string(&key).expect("encodes");
    assert_eq!(json, format!("\"{key}\""));
    assert_eq!(serde_json::from_str::<ContentKey>(&json).expect("decodes"), key);
    let bytes = postcard::to_stdvec(&key).expect("encodes");
    assert_eq!(postcard::from_bytes::<ContentKey>(&bytes).expect("decodes"), key);
}

#[yare::parameterized(
    empty = { "" },
    too_short = { "00ff" },
    no_digits = { "+000000000000000000000000000000f" },
)]
fn malformed_keys_are_rejected(text: &str) {
    assert_eq!(ContentKey::parse(text), None);
}
