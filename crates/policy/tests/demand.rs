//! Demand reports that are lost, late, repeated, or from another session.

use std::time::Duration;

use policy::{
    demand::{Arrival, Collector, Report, Reporter, Subject, interval},
    place::Work,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{host, time::Moment};

const FENCE: u64 = 7;
const ONE: Work = Work { requests: 1, prompt: 700, output: 200 };

fn s(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

fn subject(number: usize) -> Subject {
    Subject {
        model: format!("model{number:05}").into(),
        adapter: Some(format!("a{number}").into()),
    }
}

fn host(number: usize) -> host::Id {
    format!("host-{number}").into()
}

fn collector() -> Collector {
    let mut collector = Collector::default();
    assert!(collector.begin(FENCE));
    collector
}

fn work(arrivals: &[Arrival]) -> Work {
    arrivals.iter().fold(Work::default(), |sum, arrival| sum.plus(arrival.work))
}

/// Returns all reports that are due now.
fn reports(reporter: &mut Reporter, now: Moment) -> Vec<Report> {
    let mut reports = Vec::new();
    while reporter.has_unsent() {
        reports.extend(reporter.report(now));
    }
    reports
}

#[rstest]
fn no_request_is_counted_twice_or_never_though_reports_are_lost_late_and_repeated(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut reporter, mut collector) = (Reporter::new(1), collector());
    reporter.begin(FENCE, s(0.0));
    let (mut sent, mut received) = (Work::default(), Work::default());
    let mut late: Vec<Report> = Vec::new();
    for step in 0..400 {
        let now = s(f64::from(step) * 0.1);
        // Nothing arrives at the end, so that later reports can make up for lost ones.
        for _ in 0..if step < 300 { 5 } else { 0 } {
            reporter.arrive(subject(random.random_range(0..60)), ONE, now);
            sent = sent.plus(ONE);
        }
        if step < 300 || step % 10 == 0 {
            late.extend(reporter.report(now));
        }
        if random.random_bool(0.3) && !late.is_empty() {
            late.remove(random.random_range(0..late.len()));
        }
        while !late.is_empty() && random.random_bool(0.6) {
            let at = random.random_range(0..late.len());
            let report = late[at].clone();
            if random.random_bool(0.8) {
                late.remove(at);
            }
            received = received.plus(work(&collector.take(&host(0), report, now)));
        }
        assert!(received.requests <= sent.requests);
    }
    let lost = f64::from(sent.requests - received.requests) / f64::from(sent.requests);
    assert!(lost <= 0.02, "a share of {lost:.3} of {} requests was never counted", sent.requests);
}

#[test]
fn a_new_holder_hears_of_the_last_seconds_with_their_ages() {
    let mut reporter = Reporter::new(1);
    for tenth in 0..200 {
        reporter.arrive(subject(0), ONE, s(f64::from(tenth) * 0.1));
    }
    let now = s(20.0);
    reporter.begin(FENCE, now);
    let mut collector = collector();
    let received: Vec<_> = reports(&mut reporter, now)
        .into_iter()
        .flat_map(|report| collector.take(&host(0), report, now))
        .collect();
    let count = |from: f64, to: f64| -> u32 {
        let within = received.iter().filter(|one| s(from) <= one.at && one.at < s(to));
        within.map(|one| one.work.requests).sum()
    };
    assert_eq!(work(&received).requests, 150, "arrivals of the last 15 s");
    assert_eq!([count(19.0, 20.0), count(16.0, 19.0), count(5.0, 16.0)], [10, 30, 110]);
}

#[test]
fn each_holder_counts_from_its_own_beginning() {
    let mut reporter = Reporter::new(1);
    reporter.begin(FENCE, s(0.0));
    reporter.arrive(subject(0), ONE, s(1.0));
    let old = reporter.report(s(1.0)).expect("a total changed");
    reporter.begin(FENCE + 1, s(2.0));
    reporter.arrive(subject(0), ONE, s(2.5));
    let new = reporter.report(s(2.5)).expect("a total changed");
    let mut collector = Collector::default();
    collector.begin(FENCE + 1);
    assert!(
        collector.take(&host(0), old, s(3.0)).is_empty(),
        "a report for the previous holder was counted"
    );
    assert_eq!(work(&collector.take(&host(0), new, s(3.0))).requests, 2);
    reporter.begin(FENCE, s(4.0));
    reporter.arrive(subject(0), ONE, s(4.0));
    let report = reporter.report(s(4.0)).expect("a total changed");
    assert_eq!(report.fence, FENCE + 1, "an earlier fencing token replaced a later one");
}

#[test]
fn a_host_that_starts_again_counts_from_nothing() {
    let mut collector = collector();
    let first = |run| {
        let mut reporter = Reporter::new(run);
        reporter.begin(FENCE, s(0.0));
        reporter.arrive(subject(0), ONE, s(1.0));
        reporter.report(s(1.0)).expect("a total changed")
    };
    assert_eq!(work(&collector.take(&host(0), first(1), s(1.0))), ONE);
    assert_eq!(work(&collector.take(&host(0), first(1), s(1.0))), Work::default());
    assert_eq!(work(&collector.take(&host(0), first(2), s(2.0))), ONE);
    assert_eq!(work(&collector.take(&host(1), first(1), s(2.0))), ONE);
    assert_eq!(collector.reporting(s(2.0)), 2);
}

#[test]
fn reports_fit_a_datagram_and_all_totals_go_out() {
    let mut reporter = Reporter::new(1);
    reporter.begin(FENCE, s(0.0));
    (0..500).for_each(|number| reporter.arrive(subject(number), ONE, s(0.5)));
    let mut collector = collector();
    let reports = reports(&mut reporter, s(1.0));
    assert!(reports.iter().all(|report| report.lines.len() <= 30));
    let received: Vec<_> =
        reports.into_iter().flat_map(|one| collector.take(&host(0), one, s(1.0))).collect();
    assert_eq!(work(&received).requests, 500);
}

#[test]
fn a_host_at_rest_falls_silent() {
    let mut reporter = Reporter::new(1);
    reporter.begin(FENCE, s(0.0));
    reporter.arrive(subject(0), ONE, s(0.5));
    let sent = (1..100).filter_map(|tenth| reporter.report(s(f64::from(tenth) * 0.1))).count();
    assert!(sent <= 3, "{sent} reports were sent for one request");
}

#[rstest]
#[case::few(9)]
#[case::grown(82)]
#[case::target(346)]
fn the_holder_takes_a_bounded_number_of_reports(#[case] hosts: usize) {
    let each = interval(hosts).as_secs_f64();
    assert!(hosts as f64 / each <= 700.0 + 1e-6);
    assert!(each <= 0.5, "{each} s between two reports of one of {hosts} hosts");
}
