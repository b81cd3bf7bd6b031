use proptest::prelude::*;

use super::{Agreement, ConfigInForce, Position};

fn config(version: u64, up_to: u64, newest: u64) -> ConfigInForce {
    ConfigInForce { version, position: Position { up_to, newest } }
}

fn any_config() -> impl Strategy<Value = ConfigInForce> {
    (0u64..4, 0u64..6, 0u64..6)
        .prop_map(|(version, newest, read)| config(version, newest + read, newest))
}

/// Guards against requests that pass to a node with another version, or with other evacuations.
#[yare::parameterized(
    the_same = { config(5, 50, 50), Agreement::Same },
    read_further_without_a_change = { config(5, 70, 50), Agreement::Same },
    read_in_full_after_a_row_was_removed = { config(5, 50, 30), Agreement::Same },
    an_older_version = { config(4, 40, 40), Agreement::Behind },
    an_older_version_that_was_read_further = { config(4, 70, 40), Agreement::Behind },
    a_newer_version = { config(6, 60, 60), Agreement::Ahead },
    a_newer_version_whose_position_is_not_recorded_yet = { config(6, 50, 50), Agreement::Ahead },
    a_newer_evacuation = { config(5, 60, 60), Agreement::Ahead },
    an_older_evacuation = { config(5, 45, 45), Agreement::Behind },
    a_newer_version_of_an_earlier_era = { config(6, 30, 30), Agreement::Behind },
)]
fn a_configuration_is_compared_by_version_and_position(own: ConfigInForce, expected: Agreement) {
    assert_eq!(own.compare(config(5, 50, 50)), expected);
}

proptest! {
    /// Guards against two nodes that both take the other's requests although they differ.
    #[test]
    fn two_nodes_agree_on_whether_they_are_the_same(one in any_config(), other in any_config()) {
        let is_same = one.compare(other) == Agreement::Same;
        prop_assert_eq!(is_same, other.compare(one) == Agreement::Same);
        prop_assert!(!is_same || one.version == other.version);
    }

    /// Guards against two nodes that each wait for the other to have its configuration.
    #[test]
    fn a_node_that_is_ahead_has_all_of_the_other(one in any_config(), other in any_config()) {
        if one.compare(other) == Agreement::Ahead {
            prop_assert_eq!(other.compare(one), Agreement::Behind);
            prop_assert!(!one.position.lacks_change_of(other.position));
        }
    }
}
