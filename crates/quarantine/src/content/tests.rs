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
