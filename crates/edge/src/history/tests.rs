use proptest::prelude::*;

use super::{cursor, era, version, Era};

proptest! {
    #[test]
    fn cursors_are_ordered_by_era_and_then_version(
        one in (any::<Era>(), 0u64..1 << 48),
        other in (any::<Era>(), 0u64..1 << 48),
    ) {
        let position = |(era, version)| cursor(era, version);
        prop_assert_eq!(one.cmp(&other), position(one).cmp(&position(other)));
        prop_assert_eq!((era(position(one)), version(position(one))), one);
    }
}
