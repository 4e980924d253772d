//! The retry budget holds over all hosts in each sliding window.

use policy::dispatch::{
    RetryBudgetConfig,
    budget::{
        Budget, Extra, Need,
        loan::{PORTION, VALIDITY},
    },
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use types::prelude::*;

use crate::fixture::at;

const CONFIG: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) };

/// The share of the extra of a run that has it from its start.
fn extra(hosts: u32) -> Extra {
    Extra { hosts, available_from: Some(at(0)) }
}

/// Pays for a retry that arrives at once.
fn pay(budget: &mut Budget, need: Need, extra: Extra, now: Moment) -> Option<()> {
    let payment = budget.pay(need, extra, now)?;
    budget.arrived(payment, now);
    Some(())
}

fn spend(budget: &mut Budget, hosts: u32, now: Moment) -> u32 {
    (0..1000).take_while(|_| pay(budget, Need::High, extra(hosts), now).is_some()).count() as u32
}

#[rstest]
fn a_host_without_requests_has_its_part_of_the_extra() {
    let spent = spend(&mut Budget::new(CONFIG), 5, at(0));
    assert!((5..=10).contains(&spent), "{spent} retries spent");
}

#[rstest]
fn a_part_is_kept_for_what_would_be_lost() {
    let mut budget = Budget::new(CONFIG);
    let withdraw = |budget: &mut Budget| pay(budget, Need::Normal, extra(1), at(0));
    let normal = (0..1000).take_while(|_| withdraw(&mut budget).is_some()).count();
    assert!(0 < normal && 0 < spend(&mut budget, 1, at(0)));
}

#[rstest]
fn what_was_used_comes_back_after_a_whole_window() {
    let mut budget = Budget::new(CONFIG);
    let first = spend(&mut budget, 1, at(0));
    assert_eq!(spend(&mut budget, 1, at(10_000)), 0);
    assert_eq!(spend(&mut budget, 1, at(10_001)), first);
}

#[rstest]
#[case(None, 9_999)]
#[case(None, 60_000)]
#[case(Some(10_000), 9_999)]
fn a_run_that_has_no_part_yet_has_retries_for_its_requests_alone(
    #[case] from: Option<u64>,
    #[case] now: u64,
) {
    let extra = Extra { hosts: 1, available_from: from.map(at) };
    let mut budget = Budget::new(CONFIG);
    assert_eq!(pay(&mut budget, Need::High, extra, at(now)), None);
    (0..100).for_each(|_| budget.request(at(now)));
    assert!(pay(&mut budget, Need::High, extra, at(now)).is_some());
}

#[rstest]
fn a_retry_counts_until_a_window_after_its_arrival() {
    let mut budget = Budget::new(CONFIG);
    let full = spend(&mut Budget::new(CONFIG), 1, at(0));
    let payment = budget.reserve(Need::High, extra(1), at(0)).unwrap();
    assert_eq!(budget.left(Need::High, extra(1), at(15_000)), f64::from(full - 1));
    budget.arrived(payment, at(15_000));
    assert_eq!(budget.left(Need::High, extra(1), at(25_000)), f64::from(full - 1));
    assert_eq!(budget.left(Need::High, extra(1), at(25_001)), f64::from(full));
}

#[rstest]
fn a_retry_that_never_leaves_is_given_back() {
    let mut budget = Budget::new(CONFIG);
    let full = budget.left(Need::High, extra(1), at(0));
    let payment = budget.reserve(Need::High, extra(1), at(0)).unwrap();
    budget.refund(payment);
    assert_eq!(budget.left(Need::High, extra(1), at(0)), full);
}

/// Three idle hosts lend to a fourth, which requests a loan from each in turn.
#[rstest]
fn a_host_may_pass_its_share_while_others_lend_theirs() {
    let share = spend(&mut Budget::new(CONFIG), 4, at(0));
    let mut lenders = vec![Budget::new(CONFIG); 3];
    let mut borrower = Budget::new(CONFIG);
    let spent: u32 = (0..20)
        .map(|turn| {
            let now = at(turn * 10);
            for lender in &mut lenders {
                borrower.borrow(lender.lend(PORTION, extra(4), now), now + VALIDITY, now);
            }
            spend(&mut borrower, 4, now)
        })
        .sum();
    assert!(share * 2 < spent, "{spent} retries spent, the host's own share is {share}");
}

/// A loan counts until nothing that it paid for can arrive any more, and for a window from then on.
#[rstest]
#[case(0, false)]
#[case(11_900, false)]
#[case(12_001, true)]
fn what_is_lent_is_not_used_by_the_lender(#[case] later: u64, #[case] is_back: bool) {
    let mut lender = Budget::new(CONFIG);
    let lent: u32 = (0..100).map(|_| lender.lend(PORTION, extra(1), at(0))).sum();
    assert!(0 < lent);
    let full = spend(&mut Budget::new(CONFIG), 1, at(0));
    let expected = if is_back { full } else { full - lent };
    assert_eq!(spend(&mut lender, 1, at(later)), expected);
}

#[rstest]
#[case(499, 3)]
#[case(500, 0)]
fn a_loan_is_used_soon_or_never(#[case] later: u64, #[case] used: u32) {
    let mut borrower = Budget::new(RetryBudgetConfig { extra: 0.0, ..CONFIG });
    borrower.borrow(3, at(0) + VALIDITY, at(0));
    assert_eq!(spend(&mut borrower, 1, at(later)), used);
}

#[rstest]
fn a_host_that_is_short_lends_nothing() {
    let mut budget = Budget::new(CONFIG);
    spend(&mut budget, 4, at(0));
    assert_eq!(budget.lend(PORTION, extra(4), at(0)), 0);
}

/// Arriving requests and wanted retries, by host, at steps of 50 ms.
fn demand() -> impl Strategy<Value = Vec<Vec<(u32, u32)>>> {
    let phase = (0..12_u32, 0..12_u32, 1..160_usize);
    let host = prop::collection::vec(phase, 1..5).prop_map(|phases| {
        let steps = phases.into_iter();
        steps.flat_map(|(requests, retries, n)| vec![(requests, retries); n]).collect()
    });
    prop::collection::vec(host, 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Whatever is wanted, no window over all hosts has more retries than the config allows.
    #[test]
    fn no_window_is_overdrawn(demand in demand()) {
        prop_assert_eq!(overdrawn(&demand, None), None);
    }

    /// No window has more retries than the config allows if hosts that are short borrow from
    /// others, and some messages are lost.
    #[test]
    fn no_window_is_overdrawn_by_hosts_that_lend_each_other(
        demand in demand(),
        lost in prop::collection::vec(prop::bool::weighted(0.2), 32),
    ) {
        prop_assert_eq!(overdrawn(&demand, Some(&lost)), None);
    }
}

/// Two hosts get requests one after the other, and the requests of each fail at the end, so that
/// both spend their shares within one window.
#[rstest]
fn hosts_asked_one_after_the_other_keep_the_budget() {
    let idle = |steps: usize| vec![(0, 0); steps];
    let busy = |steps: usize| vec![(11, 0); steps];
    let failing = |steps: usize| vec![(0, 11); steps];
    let early = [busy(199), failing(60)].concat();
    let late = [idle(199), busy(140), failing(60)].concat();
    assert_eq!(overdrawn(&[early, late], None), None);
}

/// Returns the last step of the first window with more retries than the config allows. With `lost`,
/// hosts lend to each other, and `lost` says which of the messages with a loan are lost.
fn overdrawn(demand: &[Vec<(u32, u32)>], lost: Option<&[bool]>) -> Option<isize> {
    let steps = demand.iter().map(Vec::len).max().unwrap_or(0);
    let mut budgets = vec![Budget::new(CONFIG); demand.len()];
    let (all, demand_len) = (demand.len() as u32, demand.len());
    let (mut requests, mut retries) = (vec![0_u32; steps], vec![0_u32; steps]);
    for step in 0..steps {
        let now = at(step as u64 * 50);
        for (host, demand) in demand.iter().enumerate() {
            let lender = (host + 1 + step % demand_len) % demand_len;
            if let Some(lost) = lost
                && lender != host
                && budgets[host].is_short(extra(all), now)
            {
                let lent = budgets[lender].lend(PORTION, extra(all), now);
                if !lost[(step + host) % lost.len()] {
                    budgets[host].borrow(lent, now + VALIDITY, now);
                }
            }
            let budget = &mut budgets[host];
            let (arrived, wanted) = demand.get(step).copied().unwrap_or_default();
            (0..arrived).for_each(|_| budget.request(now));
            requests[step] += arrived;
            let granted =
                (0..wanted).filter(|_| pay(budget, Need::High, extra(all), now).is_some());
            retries[step] += granted.count() as u32;
        }
    }
    let window = 200;
    let sum = |counts: &[u32], from: isize, to: isize| -> u32 {
        let clamp = |at: isize| at.clamp(0, steps as isize) as usize;
        counts[clamp(from)..clamp(to)].iter().sum()
    };
    (0..=(steps + window) as isize).find(|end| {
        let start = end - window as isize;
        let half = window as isize / 2;
        let most = [start, start - half, start - window as isize]
            .map(|from| sum(&requests, from, from + window as isize));
        let allowed = 0.2 * f64::from(most.into_iter().max().unwrap_or(0)) + 50.0;
        allowed <= f64::from(sum(&retries, start, *end))
    })
}
