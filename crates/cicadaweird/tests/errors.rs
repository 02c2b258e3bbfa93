//! Errors as operators see them.

use cicadaweird::{control::Reply, platform::PlatformError};

#[test]
fn the_body_of_an_error_is_json_whatever_the_query_contains() {
    let reply = Reply::error(400, "flow \"a\\\"b\" is not PROTOCOL,CALLER,ADDRESS");
    let body: serde_json::Value = serde_json::from_str(&reply.body).expect("valid JSON");
    assert_eq!(
        body["error"],
        "flow \"a\\\"b\" is not PROTOCOL,CALLER,ADDRESS"
    );
}

#[test]
fn data_that_cannot_be_decoded_is_not_logged_as_an_outage() {
    let malformed = PlatformError::Malformed("no JSON".to_owned());
    assert_eq!(malformed.kind(), "store_malformed");
    assert_eq!(PlatformError::Status(503).kind(), "store_unavailable");
}
