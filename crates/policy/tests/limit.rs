//! Limits on requests in flight under overload, recovery and idleness.

use policy::limit::{Aimd, Algorithm, Gradient, Limiter, Limiters, Signal};
use rstest::rstest;
use types::prelude::*;

const TARGET: Duration = Duration::from_secs(1);
const FAST: Signal = Signal::FirstToken { time: Duration::from_millis(50), target: TARGET };
const SLOW: Signal = Signal::FirstToken { time: Duration::from_secs(2), target: TARGET };

fn limiter_in_use(algorithm: Algorithm) -> Limiter {
    let mut limiter = Limiter::new(algorithm);
    (0..limiter.limit()).for_each(|_| limiter.start());
    limiter
}

fn millis(n: u64) -> Moment {
    Duration::from_millis(n)
}

#[rstest]
#[case::refused(Signal::Overload)]
#[case::slow(SLOW)]
fn aimd_falls_once_for_one_overload_and_never_below_its_least(#[case] signal: Signal) {
    let mut limiter = limiter_in_use(Algorithm::Aimd(Aimd::default()));
    let first = limiter.limit();
    (0..20).for_each(|_| limiter.signal(signal, millis(1000)));
    assert_eq!(limiter.limit(), (f64::from(first) * 0.7) as u32);
    (2..100).for_each(|second| limiter.signal(signal, millis(second * 1000)));
    assert_eq!(limiter.limit(), 1);
}

#[test]
fn aimd_comes_back_after_an_overload() {
    let mut limiter = limiter_in_use(Algorithm::Aimd(Aimd::default()));
    let first = limiter.limit();
    limiter.signal(Signal::Overload, millis(1000));
    assert!(limiter.limit() < first);
    (0..200).for_each(|n| limiter.signal(FAST, millis(2000 + n)));
    assert!(first <= limiter.limit());
}

#[rstest]
#[case::aimd(Algorithm::Aimd(Aimd::default()))]
#[case::gradient(Algorithm::Gradient(Gradient::default()))]
fn a_limit_that_is_not_used_does_not_grow(#[case] algorithm: Algorithm) {
    let mut limiter = Limiter::new(algorithm);
    limiter.start();
    let first = limiter.limit();
    (0..1000).for_each(|n| limiter.signal(FAST, millis(n)));
    assert_eq!(limiter.limit(), first);
}

#[test]
fn gradient_falls_while_first_tokens_get_slower_and_comes_back() {
    let mut limiter = limiter_in_use(Algorithm::Gradient(Gradient::default()));
    (0..200).for_each(|n| limiter.signal(FAST, millis(n)));
    let before = limiter.limit();
    (0..20).for_each(|n| limiter.signal(SLOW, millis(1000 + n)));
    let during = limiter.limit();
    assert!(during < before, "limit {during} under slow answers, {before} before");
    (0..400).for_each(|n| limiter.signal(FAST, millis(2000 + n)));
    assert!(during < limiter.limit());
}

#[test]
fn a_fixed_limit_stays() {
    let mut limiter = limiter_in_use(Algorithm::Fixed(5));
    limiter.signal(Signal::Overload, millis(1));
    assert_eq!((limiter.limit(), limiter.room()), (5, 0));
}

#[rstest]
fn neutral_ends_change_nothing(
    #[values(
        Algorithm::Fixed(3),
        Algorithm::Aimd(Aimd::default()),
        Algorithm::Gradient(Gradient::default())
    )]
    algorithm: Algorithm,
) {
    let mut limiter = limiter_in_use(algorithm);
    let first = limiter.limit();
    (0..100).for_each(|n| limiter.signal(Signal::Neutral, millis(n * 1000)));
    assert_eq!(limiter.limit(), first);
}

#[test]
fn one_model_backing_off_does_not_slow_another_on_the_same_server() {
    let mut limiters = Limiters::new(Algorithm::Aimd(Aimd::default()));
    let first = limiters.room(0, 1);
    limiters.limiter(0, 0).signal(Signal::Overload, millis(1));
    assert!(limiters.room(0, 0) < first);
    assert_eq!(limiters.room(0, 1), first);
}

#[test]
fn a_server_that_is_forgotten_keeps_the_count_of_its_work_in_flight() {
    let mut limiters = Limiters::new(Algorithm::Fixed(2));
    limiters.limiter(0, 0).start();
    limiters.limiter(0, 1);
    limiters.forget(0);
    assert_eq!(limiters.room(0, 0), 1);
    assert_eq!(limiters.iter().count(), 1);
}
