use super::Content;

#[test]
fn the_same_parts_have_the_same_key() {
    let key = || Content::of([b"GET".as_slice(), b"/a"]);
    assert_eq!(key(), key());
    assert_eq!(key().to_string().len(), 32);
}

#[yare::parameterized(
    another_part = { &["GET", "/a"], &["GET", "/b"] },
    another_order = { &["a", "b"], &["b", "a"] },
    a_part_that_ends_elsewhere = { &["ab", "c"], &["a", "bc"] },
    an_empty_part = { &["a", ""], &["a"] },
)]
fn other_parts_have_another_key(one: &[&str], other: &[&str]) {
    let key = |parts: &[&str]| Content::of(parts.iter().map(|part| part.as_bytes()));
    assert_ne!(key(one), key(other));
}

#[test]
fn a_key_is_read_back() {
    let key = Content::of([b"GET".as_slice()]);
    assert_eq!(Content::parse(&key.to_string()), Some(key));
    let json = serde_json::to_string(&key).expect("encodes");
    assert_eq!(json, format!("\"{key}\""));
    assert_eq!(serde_json::from_str::<Content>(&json).expect("decodes"), key);
    let bytes = postcard::to_stdvec(&key).expect("encodes");
    assert_eq!(postcard::from_bytes::<Content>(&bytes).expect("decodes"), key);
}

#[yare::parameterized(
    empty = { "" },
    too_short = { "00ff" },
    no_digits = { "+000000000000000000000000000000f" },
)]
fn other_text_is_no_key(text: &str) {
    assert_eq!(Content::parse(text), None);
}
