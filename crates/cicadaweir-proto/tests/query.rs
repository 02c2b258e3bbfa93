//! Encoding and decoding of parameters in the query of a URL.

use cicadaweir_proto::query::{parameter, percent_encode};
use proptest::prelude::*;

#[test]
fn reserved_characters_are_percent_encoded() {
    assert_eq!(percent_encode("a b&c=d"), "a%20b%26c%3Dd");
    assert_eq!(percent_encode("10.0.0.1:80"), "10.0.0.1:80");
}

#[test]
fn missing_and_malformed_values_give_none() {
    assert_eq!(parameter("a=1&b=2", "c"), None);
    assert_eq!(parameter("a=%2", "a"), None);
    assert_eq!(parameter("a=%zz", "a"), None);
    assert_eq!(parameter("a=%ff", "a"), None);
}

proptest! {
    #[test]
    fn any_value_round_trips(value in ".*", other in "[a-z0-9]*") {
        let query = format!("other={other}&zone={}", percent_encode(&value));
        prop_assert_eq!(parameter(&query, "zone"), Some(value));
    }
}
