//! Tests of routes by host name and path, and of weighted splits.

use rstest::rstest;
use types::routed::{Declaration, Kind, Route, Share};

use crate::fixture::{host, route};

fn named(name: &str, host: &str, prefix: &str) -> Route {
    let route = route(Kind::Idempotent);
    Route { name: name.into(), host: host.into(), prefix: prefix.into(), ..route }
}

fn declaration(version: u64, routes: Vec<Route>) -> Declaration {
    Declaration { version, routes, ..Declaration::default() }
}

#[rstest]
#[case("portal", "/login/2f", Some("login"))]
#[case("portal", "/login/staff/2f", Some("staff"))]
#[case("portal", "/login/staff", Some("login"))]
#[case("portal", "/login", Some("root"))]
#[case("portal", "/loginx/2f", Some("root"))]
#[case("app", "/login/2f", Some("app"))]
#[case("app", "/other", None)]
#[case("elsewhere", "/login/2f", None)]
#[case("Portal", "/login/2f", Some("login"))]
#[case("shop", "/x", Some("shop"))]
fn the_longest_prefix_of_the_host_wins(
    #[case] at: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let mut host = host();
    host.declare(&declaration(
        1,
        vec![
            named("root", "portal", "/"),
            named("login", "portal", "/login/"),
            named("staff", "portal", "/login/staff/"),
            named("app", "app", "/login/"),
            named("shop", "Shop", "/"),
        ],
    ));
    assert_eq!(host.route(at, path).map(|route| &*route.name), expected);
}

#[rstest]
fn an_older_declaration_changes_nothing() {
    let mut host = host();
    host.declare(&declaration(7, vec![named("new", "portal", "/")]));
    host.declare(&declaration(5, vec![named("old", "portal", "/")]));
    assert_eq!(host.version(), Some(7));
    assert_eq!(host.route("portal", "/x").map(|route| &*route.name), Some("new"));
}

#[rstest]
fn a_split_follows_the_weights_and_the_hash() {
    let share = |service: &str, weight| Share { service: service.into(), weight };
    let split = vec![share("old", 3), share("off", 0), share("new", 1)];
    let route = Route { split, ..route(Kind::Idempotent) };
    let of = |hash| policy::dispatch::split(&route, hash).cloned();
    let new = (0..4000).filter(|hash| of(*hash) == Some("new".into())).count();
    assert!((900..1100).contains(&new), "{new} of 4000");
    assert!((0..4000).all(|hash| of(hash) == of(hash) && of(hash) != Some("off".into())));
    assert_eq!(policy::dispatch::split(&Route { split: vec![], ..route.clone() }, 1), None);
}
