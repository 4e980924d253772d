//! Events of hosts whose clocks disagree, merged into one causal order.

use std::cell::Cell;

use observe::{
    Clock, Event, Ring,
    clock::{MAX_LEAD, Stamp},
    event::{Class, Kind, Record},
    merge::{self, Filter},
    page,
};
use proptest::prelude::*;
use rstest::rstest;
use types::order::{Action, Role};
use uhlc::NTP64;

const SECOND: u64 = 1 << 32;

thread_local! {
    /// Wall time in units of the clock, 2^-32 seconds; each test thread has its own.
    static WALL: Cell<u64> = const { Cell::new(1_000 * SECOND) };
}

fn on_time() -> NTP64 {
    NTP64(WALL.get())
}

fn fast() -> NTP64 {
    NTP64(WALL.get() + 5 * SECOND)
}

fn slow() -> NTP64 {
    NTP64(WALL.get() - 7 * SECOND)
}

fn advance(units: u64) {
    WALL.set(WALL.get() + units);
}

/// Returns three hosts, whose clocks are on time, five seconds fast and seven seconds slow.
fn hosts() -> [Ring; 3] {
    [("a", on_time as fn() -> NTP64), ("b", fast), ("c", slow)]
        .map(|(name, wall)| Ring::new(name.into(), 1, Clock::with_wall_time(wall)))
}

fn attempt(attempt: u32) -> Event {
    Event::new(Kind::Attempt { attempt })
}

fn order(id: &str) -> Event {
    let (order, action) = (id.into(), Action::Role { role: Role::Whole });
    Event::new(Kind::Order { order, fence: 1, action, cause: "test".into() })
}

fn settlement(id: &str) -> Event {
    Event::new(Kind::Settlement { order: id.into(), evidence: "report".into() })
}

fn position(records: &[Record], event: &Event) -> usize {
    records
        .iter()
        .position(|record| record.event == *event)
        .expect("the event is in the merged records")
}

fn merge_all(hosts: &[Ring]) -> Vec<Record> {
    merge::merge(hosts.iter().flat_map(Ring::records))
}

#[rstest]
#[case::from_fast_to_slow(1, 2)]
#[case::from_slow_to_fast(2, 1)]
#[case::from_on_time_to_slow(0, 2)]
fn a_message_orders_hosts_whose_clocks_are_seconds_apart(
    #[case] sender: usize,
    #[case] receiver: usize,
) {
    let hosts = hosts();

    let stamp = hosts[sender].record(attempt(1));
    advance(SECOND / 1000);
    hosts[receiver].clock().observe(stamp).unwrap();
    hosts[receiver].record(attempt(2));

    let records = merge_all(&hosts);
    assert!(position(&records, &attempt(1)) < position(&records, &attempt(2)));
}

#[test]
fn an_order_comes_before_its_settlement_that_was_read_from_the_platform() {
    let hosts = hosts();

    hosts[1].record(order("o-1"));
    advance(SECOND);
    // Host c reads the ledger instead of receiving a message, and settles with a slow clock.
    hosts[2].record(settlement("o-1"));
    hosts[2].record(attempt(9));

    let records = merge_all(&hosts);
    assert!(position(&records, &order("o-1")) < position(&records, &settlement("o-1")));
    assert!(position(&records, &settlement("o-1")) < position(&records, &attempt(9)));
}

#[test]
fn a_patch_comes_before_its_number_is_in_force() {
    let hosts = hosts();
    let patch =
        Event::new(Kind::Patch { patch: "p-1".into(), number: 4, verdict: merge::ACCEPTED.into() });
    let in_force = Event::new(Kind::Configuration { number: 4 });

    hosts[1].record(patch.clone());
    hosts[2].record(in_force.clone());

    let records = merge_all(&hosts);
    assert!(position(&records, &patch) < position(&records, &in_force));
}

#[test]
fn records_that_claim_to_cause_each_other_are_all_kept() {
    let hosts = hosts();
    // Settled before it was sent, on the same host, which only a faulty host can record.
    hosts[0].record(settlement("o-1"));
    hosts[0].record(order("o-1"));

    assert_eq!(merge_all(&hosts).len(), 2);
}

#[test]
fn a_stamp_from_far_ahead_is_not_followed() {
    let clock = Clock::with_wall_time(on_time);
    let before = clock.stamp();
    let far = Stamp(WALL.get() + (MAX_LEAD.as_secs() + 10) * SECOND);

    assert_eq!(clock.observe(far).unwrap_err().stamp, far);

    let after = clock.stamp();
    assert!(before < after && after < far);
}

#[test]
fn a_clock_set_back_still_moves_forward() {
    let clock = Clock::with_wall_time(on_time);
    let before = clock.stamp();
    WALL.set(WALL.get() - 100 * SECOND);

    assert!(before < clock.stamp());
}

#[test]
fn a_rush_of_requests_leaves_the_control_events() {
    let ring =
        Ring::new("a".into(), 1, Clock::with_wall_time(on_time)).capacity(Class::Request, 10);

    ring.record(order("o-1"));
    (0..1000).for_each(|number| {
        ring.record(attempt(number));
    });

    let records = ring.records();
    assert_eq!(records[0].event, order("o-1"));
    assert_eq!(records.len(), 11);
    assert_eq!(records.last().unwrap().event, attempt(999));
    assert_eq!(ring.dropped(), 990);
}

#[rstest]
#[case::request(Filter::default().request("r-1".into()), 1)]
#[case::model(Filter::default().model("m-1".into()), 2)]
#[case::server(Filter::default().server("s-2".into()), 1)]
#[case::host(Filter::default().host("c".into()), 1)]
#[case::nothing_asked(Filter::default(), 3)]
#[case::both(Filter::default().model("m-1".into()).server("s-1".into()), 1)]
fn filters_narrow(#[case] filter: Filter, #[case] expected: usize) {
    let hosts = hosts();
    let (model, first, second) = ("m-1".into(), "s-1".into(), "s-2".into());
    hosts[0].record(attempt(0).request(&"r-1".into()).model(&model).server(&first));
    hosts[1].record(attempt(0).request(&"r-2".into()).model(&model).server(&second));
    hosts[2].record(Event::new(Kind::Start));

    let kept = merge_all(&hosts).iter().filter(|record| filter.keeps(record)).count();

    assert_eq!(kept, expected);
}

#[test]
fn filters_by_time_take_the_start_and_leave_the_end() {
    let ring = Ring::new("a".into(), 1, Clock::with_wall_time(on_time));
    let stamps: Vec<Stamp> = (0..3)
        .map(|number| {
            advance(SECOND);
            ring.record(attempt(number))
        })
        .collect();
    let filter = Filter::default().from(stamps[0]).until(stamps[2]);

    let kept: Vec<Stamp> = ring
        .records()
        .iter()
        .filter(|record| filter.keeps(record))
        .map(|record| record.at)
        .collect();

    assert_eq!(kept, stamps[..2]);
}

#[test]
fn lines_hold_what_a_reader_looks_for() {
    let ring = Ring::new("host-1".into(), 1, Clock::with_wall_time(on_time));
    ring.record(order("o-1").server(&"s-1".into()));
    let record = &ring.records()[0];

    let text = merge::line(record);
    assert!(text.contains("host-1") && text.contains("server=s-1") && text.contains("order=o-1"));

    let json: serde_json::Value = serde_json::from_str(&merge::json_line(record).unwrap()).unwrap();
    assert_eq!(json["kind"], "order");
    assert_eq!(json["time"], "1970-01-01T00:16:40.000000000Z");
}

#[test]
fn the_page_shows_each_host_and_escapes_what_callers_sent() {
    let hosts = hosts();
    hosts[0].record(attempt(0).request(&"<script>alert(1)</script>".into()));
    hosts[2].record(Event::new(Kind::Start));

    let page = page::render(&merge_all(&hosts));

    assert!(page.contains("<th>a</th>") && page.contains("<th>c</th>"));
    assert!(page.contains("&lt;script&gt;alert(1)"));
    assert!(!page.contains("<script>alert"));
    assert!(!page.contains("http"));
}

/// Step of a generated run: a host records an event, a host sends its stamp to another that records
/// an event, or wall time advances.
#[derive(Clone, Copy, Debug)]
enum Step {
    Record(usize),
    Send(usize, usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Record),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Send(from, to)),
        (0..SECOND).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn causes_come_before_effects_whatever_the_clocks(steps in prop::collection::vec(step(), 1..60)) {
        let hosts = hosts();
        let mut number = 0;
        let mut pairs = Vec::new();
        let mut last: [Option<u32>; 3] = [None; 3];
        let mut record = |host: usize, causes: &mut Vec<(u32, u32)>| {
            let own = number;
            number += 1;
            let stamp = hosts[host].record(attempt(own));
            causes.extend(last[host].map(|before| (before, own)));
            last[host] = Some(own);
            (own, stamp)
        };
        for step in steps {
            match step {
                Step::Record(host) => {
                    record(host, &mut pairs);
                }
                Step::Send(from, to) => {
                    let (cause, stamp) = record(from, &mut pairs);
                    hosts[to].clock().observe(stamp).unwrap();
                    let (effect, _) = record(to, &mut pairs);
                    pairs.push((cause, effect));
                }
                Step::Advance(units) => advance(units),
            }
        }
        let records = merge_all(&hosts);
        prop_assert_eq!(records.len() as u32, number);
        for (cause, effect) in pairs {
            prop_assert!(position(&records, &attempt(cause)) < position(&records, &attempt(effect)));
        }
    }

    #[test]
    fn merging_keeps_each_record_once_in_any_order(shuffle in Just((0..30).collect::<Vec<u32>>()).prop_shuffle()) {
        let hosts = hosts();
        for number in 0..30_u32 {
            hosts[number as usize % 3].record(attempt(number));
            advance(SECOND / 7);
        }
        let sorted = merge_all(&hosts);
        let shuffled: Vec<Record> = shuffle.iter().map(|&index| sorted[index as usize].clone()).collect();

        let merged = merge::merge(shuffled.into_iter().chain(sorted.clone()));

        prop_assert_eq!(merged, sorted);
    }

    #[test]
    fn records_survive_json(attempt_number: u32, stamp: u64, request in ".{0,20}") {
        let event = attempt(attempt_number).request(&request.as_str().into());
        let record = Record { at: Stamp(stamp), host: "h".into(), incarnation: 3, sequence: 9, event };

        let text = serde_json::to_string(&record).unwrap();

        prop_assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
    }
}
