use std::rc::Rc;

use store::proto;

use std::time::Duration;

use crate::apply::{self, Applied, ApplyError, Patience};

const QUICK: Patience = Patience { tries: 3, first_backoff: Duration::from_millis(5) };

async fn apply(store: &store::Store, text: &str, actor: &str) -> Result<Applied, ApplyError> {
    apply::apply(store, text, actor, QUICK).await
}

const V1: &str = "service: swap-desk\ndefaults:\n  timeout_ms: 800\n";
const V2: &str = "service: swap-desk\ndefaults:\n  timeout_ms: 400\n";

/// Starts a platform stand-in on a free loopback port.
fn start_platform() -> (Rc<emu::platform::Platform>, store::Store) {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
    let table = Rc::new(emu::platform::Platform::default());
    monoio::spawn(web::serve(listener, table.clone()));
    (table, store::Store::new(addr))
}

/// Symptom: a change applied once shows twice in the audit trail, or the CLI
/// reports failure for a change that is in force.
/// Sequence: the platform commits the transaction and its answer is lost.
/// Cause: treating a lost answer as a failure and blindly writing again.
#[test]
fn lost_ack_is_resolved_by_reading_back_the_change_id() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
        table.set_faults(proto::Faults { lose_acks: 1, ..Default::default() });
        let applied = apply(&store, V1, "ana").await.expect("applied");
        let Applied::Written { version, change_id } = applied else {
            panic!("not written: {applied:?}")
        };
        let rows = table.rows(store::TEMPLATES);
        assert_eq!(rows.len(), 1);
        assert_eq!((rows[0].version, rows[0].change_id.clone()), (version, change_id));
        assert_eq!(table.rows(store::AUDIT).len(), 1);
    });
}

/// Symptom: an operator is told "conflict, nothing written" for a change that is in force.
/// Sequence: the answer to a commit is lost and the commit is not there yet
/// when it is looked for; it lands just before it is sent again.
/// Cause: taking the second try's conflict at its word. The platform is slow
/// here so that the commit (due at 105 ms) lands between the look (85 ms) and
/// the second try (125 ms).
#[test]
fn a_conflict_with_ones_own_late_commit_is_no_conflict() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
        let faults =
            proto::Faults { delay_ms: 40, late_commits: 1, late_ms: 65, ..Default::default() };
        table.set_faults(faults);
        let patience =
            crate::apply::Patience { tries: 5, first_backoff: std::time::Duration::from_millis(5) };
        let applied = crate::apply::apply(&store, V1, "ana", patience).await.expect("applied");
        let Applied::Written { version, .. } = applied else { panic!("{applied:?}") };
        assert_eq!(table.rows(store::TEMPLATES)[0].version, version);
        assert_eq!(table.rows(store::AUDIT).len(), 1);
    });
}

/// Symptom: two operators both believe their change won; one silently vanished.
/// Sequence: both read the same version of one template and commit.
/// Cause: a blind write instead of compare-and-swap on the version read.
#[test]
fn racing_operators_one_wins_the_other_sees_a_conflict() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
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
        assert_eq!(table.rows(store::TEMPLATES)[0].value, V2);
    });
}

/// Symptom: the CLI hangs or claims success while the platform is down.
/// Sequence: the platform is in an outage for the whole apply.
/// Cause: not telling "nothing written" apart from "outcome unknown".
#[test]
fn outage_reports_nothing_written() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
        table.set_faults(proto::Faults { outage: true, ..Default::default() });
        let result = apply(&store, V1, "ana").await;
        assert!(matches!(result, Err(ApplyError::Unavailable(_))), "{result:?}");
        assert!(table.rows(store::TEMPLATES).is_empty());
    });
}

#[test]
fn invalid_template_writes_nothing() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
        let result = apply(&store, "service: a\ndefaults:\n  timeout: 3\n", "ana").await;
        assert!(matches!(result, Err(ApplyError::Invalid(_))), "{result:?}");
        assert!(table.rows(store::TEMPLATES).is_empty());
    });
}

#[test]
fn same_text_again_is_unchanged() {
    web::runtime().block_on(async {
        let (_table, store) = start_platform();
        apply(&store, V1, "ana").await.expect("first");
        let again = apply(&store, V1, "ana").await.expect("second");
        assert!(matches!(again, Applied::Unchanged { .. }), "{again:?}");
    });
}

#[test]
fn an_evacuation_is_written_once_with_its_record_and_taken_back() {
    web::runtime().block_on(async {
        let (table, store) = start_platform();
        let evacuate = async |lift| apply::evacuate(&store, "attiki-b", lift, "ana", QUICK).await;
        assert!(matches!(evacuate(true).await, Ok(Applied::Unchanged { version: 0 })));
        assert!(matches!(evacuate(false).await, Ok(Applied::Written { .. })));
        table.set_faults(proto::Faults { lose_acks: 1, ..Default::default() });
        assert!(matches!(evacuate(false).await, Ok(Applied::Unchanged { .. })));
        assert!(matches!(evacuate(true).await, Ok(Applied::Written { .. })));
        assert_eq!(table.rows(store::DRAINS)[0].value, r#"{"lifted":true}"#);
        let records = table.rows(store::AUDIT);
        let diff = |row: &proto::Row| audit::Record::from_json(&row.value).expect("a record").diff;
        let mut diffs: Vec<String> = records.iter().map(diff).collect();
        diffs.sort();
        assert_eq!(diffs, ["+evacuate attiki-b\n", "-evacuate attiki-b\n"]);
    });
}
