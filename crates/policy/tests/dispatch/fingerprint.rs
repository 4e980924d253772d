//! Tests of the digests by which requests are known.

use policy::dispatch::poison::fingerprint::{Caller, Content};
use rstest::rstest;
use types::customer::KeyDigest;

const REQUEST: Content<'_> = Content {
    host: "desk.example",
    method: "GET",
    target: "/pages/guest?room=13",
    caller: Caller::Unnamed,
    body: b"",
};

#[rstest]
#[case::host(Content { host: "desk2.example", ..REQUEST })]
#[case::method(Content { method: "HEAD", ..REQUEST })]
#[case::path(Content { target: "/pages/guests?room=13", ..REQUEST })]
#[case::query(Content { target: "/pages/guest?room=14", ..REQUEST })]
#[case::no_query(Content { target: "/pages/guest", ..REQUEST })]
#[case::body(Content { body: b"13", ..REQUEST })]
#[case::customer(Content { caller: Caller::Customer("harbour"), ..REQUEST })]
#[case::key(Content { caller: Caller::Key(KeyDigest::of(b"harbour")), ..REQUEST })]
#[case::customer_without_a_name(Content { caller: Caller::Customer(""), ..REQUEST })]
fn requests_that_differ_in_a_property_are_told_apart(#[case] other: Content<'_>) {
    assert_ne!(REQUEST.fingerprint(), other.fingerprint());
}

/// The fields of both have the same bytes one after the other.
#[test]
fn the_bounds_of_properties_are_told_apart() {
    let long = Content { target: "/a", body: b"bc", ..REQUEST };
    let short = Content { target: "/ab", body: b"c", ..REQUEST };
    assert_ne!(long.fingerprint(), short.fingerprint());
}

#[test]
fn customers_are_told_apart() {
    let of = |name| Content { caller: Caller::Customer(name), ..REQUEST }.fingerprint();
    assert_ne!(of("harbour"), of("mill"));
}

/// Hosts that were built on machines of another kind, or with another toolchain, compute the same.
#[test]
fn digests_are_the_same_in_every_build() {
    assert_eq!(REQUEST.fingerprint(), 0x00ca_0b60_ca68_9d60);
}
