//! Limits on work in flight under overload, recovery and idleness.

use policy::limit::{Aimd, Gradient, Law, Pool, Pools, Signal};
use rstest::rstest;
use types::prelude::*;

const TARGET: Duration = Duration::from_secs(1);
const FAST: Signal = Signal::FirstToken { time: Duration::from_millis(50), target: TARGET };
const SLOW: Signal = Signal::FirstToken { time: Duration::from_secs(2), target: TARGET };

fn pool_in_use(law: Law) -> Pool {
    let mut pool = Pool::new(law);
    (0..pool.limit()).for_each(|_| pool.start());
    pool
}

fn millis(n: u64) -> Moment {
    Duration::from_millis(n)
}

#[rstest]
#[case::refused(Signal::Overload)]
#[case::slow(SLOW)]
fn aimd_falls_once_for_one_overload_and_never_below_its_least(#[case] signal: Signal) {
    let mut pool = pool_in_use(Law::Aimd(Aimd::default()));
    let first = pool.limit();
    (0..20).for_each(|_| pool.signal(signal, millis(1000)));
    assert_eq!(pool.limit(), (f64::from(first) * 0.7) as u32);
    (2..100).for_each(|second| pool.signal(signal, millis(second * 1000)));
    assert_eq!(pool.limit(), 1);
}

#[test]
fn aimd_comes_back_after_an_overload() {
    let mut pool = pool_in_use(Law::Aimd(Aimd::default()));
    let first = pool.limit();
    pool.signal(Signal::Overload, millis(1000));
    assert!(pool.limit() < first);
    (0..200).for_each(|n| pool.signal(FAST, millis(2000 + n)));
    assert!(first <= pool.limit());
}

#[rstest]
#[case::aimd(Law::Aimd(Aimd::default()))]
#[case::gradient(Law::Gradient(Gradient::default()))]
fn a_limit_that_is_not_used_does_not_grow(#[case] law: Law) {
    let mut pool = Pool::new(law);
    pool.start();
    let first = pool.limit();
    (0..1000).for_each(|n| pool.signal(FAST, millis(n)));
    assert_eq!(pool.limit(), first);
}

#[test]
fn gradient_falls_while_first_tokens_get_slower_and_comes_back() {
    let mut pool = pool_in_use(Law::Gradient(Gradient::default()));
    (0..200).for_each(|n| pool.signal(FAST, millis(n)));
    let before = pool.limit();
    (0..20).for_each(|n| pool.signal(SLOW, millis(1000 + n)));
    let during = pool.limit();
    assert!(during < before, "{during} against {before}");
    (0..400).for_each(|n| pool.signal(FAST, millis(2000 + n)));
    assert!(during < pool.limit());
}

#[test]
fn a_fixed_limit_stays() {
    let mut pool = pool_in_use(Law::Fixed(5));
    pool.signal(Signal::Overload, millis(1));
    assert_eq!((pool.limit(), pool.room()), (5, 0));
}

#[rstest]
fn neutral_ends_change_nothing(
    #[values(Law::Fixed(3), Law::Aimd(Aimd::default()), Law::Gradient(Gradient::default()))]
    law: Law,
) {
    let mut pool = pool_in_use(law);
    let first = pool.limit();
    (0..100).for_each(|n| pool.signal(Signal::Neutral, millis(n * 1000)));
    assert_eq!(pool.limit(), first);
}

#[test]
fn one_model_backing_off_does_not_slow_another_on_the_same_server() {
    let mut pools = Pools::new(Law::Aimd(Aimd::default()));
    let first = pools.room(0, 1);
    pools.pool(0, 0).signal(Signal::Overload, millis(1));
    assert!(pools.room(0, 0) < first);
    assert_eq!(pools.room(0, 1), first);
}

#[test]
fn a_server_that_is_forgotten_keeps_the_count_of_its_work_in_flight() {
    let mut pools = Pools::new(Law::Fixed(2));
    pools.pool(0, 0).start();
    pools.pool(0, 1);
    pools.forget(0);
    assert_eq!(pools.room(0, 0), 1);
    assert_eq!(pools.iter().count(), 1);
}
