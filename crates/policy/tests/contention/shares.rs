//! Tests of how customers share servers.

use policy::{
    dispatch::{Cause, End, RequestSpec, Verdict},
    share::Shares,
};
use proptest::prelude::*;
use rstest::rstest;
use types::{
    customer::{Quota, Unit},
    prelude::*,
    routed::{Customer, Declaration, Kind, Rate, Server},
};

use crate::{
    city::{News, Outcomes, Size, Source, play},
    fixture::{among, at, generation, load, plain, request, server},
};

const SIZE: Size =
    Size { hosts: 8, servers: 24, span: Duration::from_secs(20), news: News::Exchanged };

const REGULAR: Source = Source {
    customer: Some("a"),
    goal: Duration::from_millis(400),
    deadline: Duration::from_secs(4),
    load: |_| 0.15,
};

/// A customer at six times its usual load for 11 s.
const HEAVY: Source = Source {
    customer: Some("heavy"),
    load: |at| if (5.0..16.0).contains(&at) { 0.9 } else { 0.15 },
    ..REGULAR
};

/// Worth of a late response over that of one in time.
const LATE: f64 = 0.3;

fn service(outcomes: &[Outcomes]) -> f64 {
    let worth = outcomes.iter().map(|of| f64::from(of.in_time) + LATE * f64::from(of.late));
    worth.sum::<f64>() / outcomes.iter().map(|of| f64::from(of.arrived)).sum::<f64>()
}

fn of_others(size: Size, last: Source) -> (f64, Vec<Outcomes>) {
    let customer = |name| Source { customer: Some(name), ..REGULAR };
    let outcomes = play(size, &[customer("a"), customer("b"), customer("c"), last]);
    (service(&outcomes[..3]), outcomes)
}

/// A customer at six times its usual load must not take the others' service. Without news of other
/// hosts, each host goes by its own requests, of which it has few.
#[rstest]
fn a_heavy_customer_costs_others_little(
    #[values(8, 24)] hosts: usize,
    #[values((News::Exchanged, 0.05), (News::Missing, 0.1))] (news, most): (News, f64),
) {
    let size = Size { hosts, news, ..SIZE };
    let (usual, _) = of_others(size, Source { load: |_| 0.15, ..HEAVY });
    let (burst, outcomes) = of_others(size, HEAVY);
    assert!(usual - most <= burst, "{usual} {burst} {outcomes:?}");
    let all = service(&outcomes);
    assert!(outcomes.iter().all(|of| 0.25 * all <= of.served()), "{outcomes:?}");
}

/// A customer that is alone may use all the capacity.
#[test]
fn a_customer_that_is_alone_uses_all_the_capacity() {
    let alone = Source { load: |_| 0.9, ..HEAVY };
    let outcomes = play(SIZE, &[alone]);
    assert!(0.99 <= outcomes[0].served(), "{outcomes:?}");
}

/// A request of a customer with few requests must not be refused because those of another fill the
/// queue.
#[test]
fn an_arrival_below_its_share_displaces_a_request_above_it() {
    let mut host = plain(&["s1"]);
    let of = |ticket, name: &str| RequestSpec {
        customer: Some(name.into()),
        ..request(ticket, Kind::NonIdempotent, at(0))
    };
    let refused =
        (0..500).find(|n| matches!(host.arrive(of(*n, "heavy"), at(0)), Verdict::Refuse { .. }));
    assert!(refused.is_some());
    assert_eq!(host.arrive(of(1_000, "light"), at(0)), Verdict::Wait);
    host.peer_customer_work(&[("light".into(), 0, 100_000)], at(0));
    assert!(matches!(host.arrive(of(1_001, "heavy"), at(0)), Verdict::Wait));
    let causes = host.pump(at(1)).into_iter().filter_map(|change| match change.verdict {
        Verdict::Refuse { cause, .. } => Some((change.ticket, cause)),
        _ => None,
    });
    assert_eq!(causes.collect::<Vec<_>>(), [(1_000, Cause::Share)]);
}

/// Guards against a large customer that counts as above its share at its usual load.
#[rstest]
#[case::within_its_quota(8_000, true)]
#[case::far_beyond_it(80_000, false)]
fn a_large_customer_within_its_quota_takes_the_last_free_slot(
    #[case] used: u64,
    #[case] is_sent: bool,
) {
    let mut host = among(24, [Server { slots: 12, ..server("s1", "a", &[]) }].into_iter());
    let small: Vec<String> = (0..7).map(|number| format!("small{number}")).collect();
    let customer = |name: &str, rate: f64| Customer {
        name: name.into(),
        keys: vec![],
        priority: None,
        weight: 1,
        quota: Rate::per_second(rate).map(|rate| Quota { rate, burst: 0.0, unit: Unit::Requests }),
    };
    let customers = small.iter().map(|name| customer(name, 10.0)).chain([customer("large", 80.0)]);
    let customers = Some(customers.collect());
    host.declare(&Declaration { version: 1, customers, ..Declaration::default() });
    let work = small.iter().map(|name| (name.as_str(), 1_000)).chain([("large", used)]);
    let work: Vec<_> = work.map(|(name, used)| (name.into(), used, 0)).collect();
    host.peer_customer_work(&work, at(0));
    host.server_load(&"s1".into(), load(11, 0, 12), at(0));
    let spec =
        RequestSpec { customer: Some("large".into()), ..request(1, Kind::NonIdempotent, at(0)) };
    let verdict = host.arrive(spec, at(0));
    assert_eq!(matches!(verdict, Verdict::Send(_)), is_sent, "{verdict:?}");
}

/// Guards against slots that stay free for requests that wait for another model.
#[rstest]
#[case::of_another_model("m2", 100)]
#[case::of_the_same_model("m1", 0)]
fn a_request_above_its_share_leaves_slots_to_those_that_could_use_them(
    #[case] waited_for: &str,
    #[case] sent: usize,
) {
    let registration =
        |id, slots, models: &[(&str, &[&str])]| Server { slots, ..server(id, "a", models) };
    let servers = [registration("s1", 12, &[("m1", &[])]), registration("s2", 12, &[("m2", &[])])];
    let mut host = among(24, servers.into_iter());
    let of = |ticket, name: &str, model| RequestSpec {
        customer: Some(name.into()),
        ..generation(ticket, model, at(0))
    };
    let is_waiting =
        |ticket: &u64| host.arrive(of(*ticket, "small", waited_for), at(0)) == Verdict::Wait;
    let waiting = (1_000..1_100).find(is_waiting).expect("a full server");
    (1_000..waiting).for_each(|ticket| host.ended(ticket, End::Completed, at(1)));
    host.peer_customer_work(&[("large".into(), 90_000, 0), ("small".into(), 1, 0)], at(1));
    let is_sent = |ticket: &u64| {
        let is_sent = matches!(host.arrive(of(*ticket, "large", "m1"), at(1)), Verdict::Send(_));
        host.ended(*ticket, End::Cancelled, at(1));
        is_sent
    };
    let found = (0..100).filter(is_sent).count();
    assert_eq!(found, sent);
}

/// Customers take turns whatever the order in which their requests arrived.
#[test]
fn customers_take_turns_by_weight() {
    let mut host = plain(&["s1"]);
    let of = |ticket, name: &str, weight| RequestSpec {
        customer: Some(name.into()),
        weight,
        ..request(ticket, Kind::NonIdempotent, at(0))
    };
    let taken = (0..8).filter(|n| matches!(host.arrive(of(*n, "a", 1), at(0)), Verdict::Send(_)));
    let taken = taken.count() as u64;
    (10..14).for_each(|n| assert_eq!(host.arrive(of(n, "b", 2), at(0)), Verdict::Wait));
    let mut order = Vec::new();
    for ended in 0..taken {
        host.ended(ended, End::Completed, at(30));
        order.extend(host.pump(at(30)).into_iter().map(|change| change.ticket));
    }
    let of_b = order.iter().filter(|ticket| **ticket >= 10).count();
    assert!(2 * (order.len() - of_b) <= of_b, "{order:?}");
}

proptest! {
    /// A group that always waits gets its share over any window, less one largest request of each
    /// group over its weight.
    #[test]
    fn waiting_groups_get_their_shares(
        weights in prop::collection::vec(1_u32..5, 2..5),
        costs in prop::collection::vec(1_u64..1_000, 200),
    ) {
        let groups: Vec<_> = (0..weights.len()).map(|n| Some(n.to_string().into())).collect();
        let mut shares = Shares::default();
        groups.iter().for_each(|group| shares.join(group));
        let mut served = vec![vec![0.0; groups.len()]];
        for cost in &costs {
            let next = (0..groups.len()).min_by_key(|at| shares.of(&groups[*at])).unwrap();
            shares.charge(&groups[next], *cost, weights[next]);
            let mut after: Vec<f64> = served.last().unwrap().clone();
            after[next] += *cost as f64 / f64::from(weights[next]);
            served.push(after);
        }
        let largest = *costs.iter().max().unwrap() as f64;
        for (from, to) in (0..served.len()).flat_map(|to| (0..to).map(move |from| (from, to))) {
            let got: Vec<f64> = served[to].iter().zip(&served[from]).map(|(a, b)| a - b).collect();
            for one in 0..groups.len() {
                for other in 0..groups.len() {
                    let bound = largest / f64::from(weights[one]) + largest / f64::from(weights[other]);
                    prop_assert!(got[one] <= got[other] + bound + 0.01, "{got:?}");
                }
            }
        }
    }
}
