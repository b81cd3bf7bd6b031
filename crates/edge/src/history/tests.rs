use proptest::prelude::*;

use super::{cursor, era, version, Era};

proptest! {
    #[test]
    fn places_are_in_order_of_era_and_then_version(
        one in (any::<Era>(), 0u64..1 << 48),
        other in (any::<Era>(), 0u64..1 << 48),
    ) {
        let place = |(era, version)| cursor(era, version);
        prop_assert_eq!(one.cmp(&other), place(one).cmp(&place(other)));
        prop_assert_eq!((era(place(one)), version(place(one))), one);
    }
}
