use quarantine::ContentKey;
use web::h1;

fn content(text: &str, body: &str) -> ContentKey {
    let parsed = h1::parse_request(text.as_bytes(), 4_096).expect("a request");
    let (head, _) = parsed.expect("a whole head");
    super::of(&head, body.as_bytes())
}

const FIRST: &str = "POST /claim/7?x=1 HTTP/1.1\r\nHost: seeds.example\r\nX-Id: 1\r\n\
    X-Deadline: 500\r\nContent-Length: 4\r\n\r\n";

#[test]
fn attempts_of_one_request_have_the_same_key() {
    let again = FIRST.replace("X-Id: 1", "X-Id: 2").replace("500", "320");
    assert_eq!(content(FIRST, "seed"), content(&again, "seed"));
}

#[yare::parameterized(
    method = { "POST", "PUT" },
    host = { "seeds.example", "other.example" },
    path = { "/claim/7", "/claim/8" },
    query = { "x=1", "x=2" },
    key = { "X-Id: 1", "Authorization: Bearer a" },
    cookie = { "X-Id: 1", "Cookie: a=1" },
    length = { "Content-Length: 4", "Content-Length: 5" },
)]
fn different_requests_have_different_keys(part: &str, other: &str) {
    let changed = FIRST.replace(part, other);
    assert_ne!(content(FIRST, "seed"), content(&changed, "seed"));
}

#[test]
fn different_bodies_have_different_keys() {
    assert_ne!(content(FIRST, "seed"), content(FIRST, "sead"));
}

/// Guards against a key over as much of a body as happens to have been received: a long upload that
/// crashes upstreams arrives in pieces of different sizes each time and would not be recognized.
#[test]
fn the_key_does_not_depend_on_how_much_of_a_long_body_was_received() {
    let body = "x".repeat(200 * 1024);
    assert_eq!(content(FIRST, &body[..70 * 1024]), content(FIRST, &body[..90 * 1024]));
}
