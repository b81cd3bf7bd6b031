use std::rc::Rc;

use store::proto;

use std::time::Duration;

use crate::apply::{self, Applied, ApplyError, RetryConfig};

const FAST_RETRY: RetryConfig =
    RetryConfig { max_attempts: 3, initial_backoff: Duration::from_millis(5) };

async fn apply(store: &store::Store, text: &str, actor: &str) -> Result<Applied, ApplyError> {
    apply::apply(store, text, actor, FAST_RETRY).await
}

const V1: &str = "service: swap-desk\ndefaults:\n  timeout_ms: 800\n";
const V2: &str = "service: swap-desk\ndefaults:\n  timeout_ms: 400\n";

/// Starts a stand-in platform on a free loopback port.
fn start_platform() -> (Rc<emu::platform::Platform>, store::Store) {
    let (platform, addr) = start_platform_at();
    (platform, store::Store::new(addr))
}

/// Like [`start_platform`], but returns its address, for several clients.
fn start_platform_at() -> (Rc<emu::platform::Platform>, std::net::SocketAddr) {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
    let platform = Rc::new(emu::platform::Platform::default());
    monoio::spawn(web::serve(listener, platform.clone()));
    (platform, addr)
}

/// Guards against a change that is recorded twice in the audit trail, or reported as failed
/// although it is in force, because a lost response to a commit is taken for a failure and the
/// change is written again without a check.
#[test]
fn lost_response_is_resolved_by_reading_back_the_audit_record() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        platform.set_faults(proto::Faults { lose_acks: 1, ..Default::default() });
        let applied = apply(&store, V1, "ana").await.expect("applied");
        let Applied::Written { version, change_id } = applied else {
            panic!("not written: {applied:?}")
        };
        let rows = platform.rows(store::TEMPLATES);
        assert_eq!(rows.len(), 1);
        assert_eq!((rows[0].version, rows[0].change_id.clone()), (version, change_id));
        assert_eq!(platform.rows(store::AUDIT).len(), 1);
    });
}

/// Guards against a conflict reported for a change that is in force. The response to a commit is
/// lost and the change is committed after its audit record was read back but before it is sent
/// again, so that the second attempt conflicts with the first. The delays of the platform make the
/// commit (at 105 ms) fall between the read (85 ms) and the second attempt (125 ms).
#[test]
fn a_conflict_with_an_earlier_attempt_of_the_same_change_is_a_success() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        let faults =
            proto::Faults { delay_ms: 40, late_commits: 1, late_ms: 65, ..Default::default() };
        platform.set_faults(faults);
        let retry = crate::apply::RetryConfig {
            max_attempts: 5,
            initial_backoff: std::time::Duration::from_millis(5),
        };
        let applied = crate::apply::apply(&store, V1, "ana", retry).await.expect("applied");
        let Applied::Written { version, .. } = applied else { panic!("{applied:?}") };
        assert_eq!(platform.rows(store::TEMPLATES)[0].version, version);
        assert_eq!(platform.rows(store::AUDIT).len(), 1);
    });
}

/// Guards against a lost update: two operators read the same version of a template, both commit,
/// and one change disappears although both were reported as successful. Cause: a write that is not
/// conditional on the version that was read.
#[test]
fn of_two_concurrent_changes_one_succeeds_and_the_other_conflicts() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        let base = apply(&store, V1, "ana").await.expect("first");
        let Applied::Written { version, .. } = base else { panic!("{base:?}") };
        let write = |text: &str, id: &str| proto::Txn {
            change_id: id.into(),
            writes: vec![proto::Write {
                table: store::TEMPLATES.into(),
                key: "swap-desk".into(),
                expected_version: version,
                value: text.to_owned(),
            }],
        };
        let first = store.commit(&write(V2, "a")).await;
        let second = store.commit(&write("service: swap-desk\n", "b")).await;
        assert!(first.is_ok());
        assert!(matches!(second, Err(store::StoreError::Conflict(_))), "{second:?}");
        assert_eq!(platform.rows(store::TEMPLATES)[0].value, V2);
    });
}

/// Guards against an apply that hangs, or reports success, during an outage of the platform that
/// lasts for all attempts. Cause: "nothing was written" is not told apart from "the outcome is
/// unknown".
#[test]
fn outage_reports_nothing_written() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        platform.set_faults(proto::Faults { outage: true, ..Default::default() });
        let result = apply(&store, V1, "ana").await;
        assert!(matches!(result, Err(ApplyError::Unavailable(_))), "{result:?}");
        assert!(platform.rows(store::TEMPLATES).is_empty());
    });
}

#[test]
fn invalid_template_writes_nothing() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        let result = apply(&store, "service: a\ndefaults:\n  timeout: 3\n", "ana").await;
        assert!(matches!(result, Err(ApplyError::Invalid(_))), "{result:?}");
        assert!(platform.rows(store::TEMPLATES).is_empty());
    });
}

#[test]
fn applying_the_same_text_again_changes_nothing() {
    web::runtime().block_on(async {
        let (_platform, store) = start_platform();
        apply(&store, V1, "ana").await.expect("first");
        let again = apply(&store, V1, "ana").await.expect("second");
        assert!(matches!(again, Applied::Unchanged { .. }), "{again:?}");
    });
}

#[test]
fn an_evacuation_is_written_once_with_its_record_and_can_be_lifted() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        let evacuate =
            async |lift| apply::evacuate(&store, "attiki-b", lift, "ana", FAST_RETRY).await;
        assert!(matches!(evacuate(true).await, Ok(Applied::Unchanged { version: 0 })));
        assert!(matches!(evacuate(false).await, Ok(Applied::Written { .. })));
        platform.set_faults(proto::Faults { lose_acks: 1, ..Default::default() });
        assert!(matches!(evacuate(false).await, Ok(Applied::Unchanged { .. })));
        assert!(matches!(evacuate(true).await, Ok(Applied::Written { .. })));
        assert_eq!(platform.rows(store::DRAINS)[0].value, r#"{"lifted":true}"#);
        let records = platform.rows(store::AUDIT);
        let diff = |row: &proto::Row| audit::Record::from_json(&row.value).expect("a record").diff;
        let mut diffs: Vec<String> = records.iter().map(diff).collect();
        diffs.sort();
        assert_eq!(diffs, ["+evacuate attiki-b\n", "-evacuate attiki-b\n"]);
    });
}

const TEAMS: &str = "service: swap-desk\nteams:\n  north: {}\n  south:\n    timeout_ms: 100\n  west:\n    timeout_ms: 200\n";

fn key_of(nth: u8) -> team::KeyDigest {
    team::KeyDigest::of(&[nth])
}

/// Guards against a key that is lost when two operators add keys at once: both read the same
/// version, and the second write would replace the first.
#[test]
fn keys_added_at_once_are_all_in_force() {
    web::runtime().block_on(async {
        let (platform, addr) = start_platform_at();
        let store = store::Store::new(addr);
        let teams = TEAMS.replace("north: {}", "north:\n    timeout_ms: 50");
        apply(&store, &teams, "ana").await.expect("applied");
        platform.set_faults(proto::Faults { delay_ms: 10, ..Default::default() });
        let retry = RetryConfig { max_attempts: 20, ..FAST_RETRY };
        let service = smol_str::SmolStr::from("swap-desk");
        let add = |nth: u8, team: &'static str| {
            let (store, service) = (store::Store::new(addr), service.clone());
            monoio::spawn(async move {
                let edit = config::TeamEdit::AddKey(key_of(nth));
                apply::edit_team(&store, &service, team, &edit, "ana", retry).await
            })
        };
        let tasks = [add(1, "north"), add(2, "south"), add(3, "west"), add(4, "south")];
        for task in tasks {
            assert!(matches!(task.await, Ok(Applied::Written { .. })));
        }
        let rows = platform.rows(store::TEMPLATES);
        let template = config::Template::parse(&rows[0].value).expect("valid");
        let keys: usize = template.access.iter().map(|team| team.keys.len()).sum();
        assert_eq!(keys, 4, "{}", rows[0].value);
        assert_eq!(platform.rows(store::AUDIT).len(), 5);
    });
}

/// Guards against audit records from which a key could be used.
#[test]
fn no_record_of_a_key_holds_the_key() {
    web::runtime().block_on(async {
        let (platform, store) = start_platform();
        apply(&store, &TEAMS.replace("north: {}", "north:"), "ana").await.expect("applied");
        let edit = config::TeamEdit::AddKey(team::KeyDigest::of(b"planted-secret"));
        let service = smol_str::SmolStr::from("swap-desk");
        let retry = FAST_RETRY;
        apply::edit_team(&store, &service, "south", &edit, "ana", retry).await.expect("applied");
        let rows = [platform.rows(store::TEMPLATES), platform.rows(store::AUDIT)].concat();
        assert!(rows.iter().any(|row| row.value.contains("blake3-128:")));
        assert!(rows.iter().all(|row| !row.value.contains("planted-secret")));
    });
}
