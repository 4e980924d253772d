//! Splitting of event streams: events pass complete, once and in order.

use bytes::Bytes;
use policy::event::{Fault, Output, ResumePoint, Splitter};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: &[u64]) -> String {
    ids.iter().copied().map(event).collect()
}

fn take(splitter: &mut Splitter, text: &str) -> Output {
    splitter.take(Bytes::copy_from_slice(text.as_bytes()))
}

fn text(taken: &Output) -> &str {
    std::str::from_utf8(&taken.events).expect("events are UTF-8")
}

#[test]
fn whole_events_pass_without_a_copy() {
    let chunk = Bytes::from(events(&[1, 2, 3]));
    let taken = Splitter::new(None).take(chunk.clone());
    assert_eq!((taken.events.as_ptr(), taken.events.len()), (chunk.as_ptr(), chunk.len()));
}

#[rstest]
#[case::in_the_id("id: 2", "\ndata: token 2\n\n")]
#[case::in_the_data("id: 2\ndata: tok", "en 2\n\n")]
#[case::before_the_blank_line("id: 2\ndata: token 2\n", "\n")]
fn half_an_event_is_held_back(#[case] half: &str, #[case] rest: &str) {
    let mut splitter = Splitter::new(None);
    let taken = take(&mut splitter, &(event(1) + half));
    assert_eq!((text(&taken), splitter.point()), (&*event(1), ResumePoint::After(1)));
    assert!(splitter.has_partial_event());
    let taken = take(&mut splitter, rest);
    assert_eq!((text(&taken), splitter.point()), (&*event(2), ResumePoint::After(2)));
    assert!(!splitter.has_partial_event());
}

#[rstest]
#[case::repeated_before(None, &[1, 2, 2, 3], &[1, 2, 3], None)]
#[case::repeated_between(None, &[1, 2, 1, 3], &[1, 2, 3], None)]
#[case::from_the_start_again(Some(2), &[1, 2, 3], &[3], None)]
#[case::after_the_callers_own(Some(12), &[13, 14], &[13, 14], None)]
#[case::gap_at_the_start(Some(2), &[4, 5], &[], Some(Fault::Gap))]
#[case::gap_between(None, &[1, 2, 4], &[1, 2], Some(Fault::Gap))]
#[case::counted_from_zero(None, &[0, 1], &[0, 1], None)]
fn only_what_follows_passes(
    #[case] after: Option<u64>,
    #[case] ids: &[u64],
    #[case] passed: &[u64],
    #[case] fault: Option<Fault>,
) {
    let taken = take(&mut Splitter::new(after), &events(ids));
    assert_eq!((text(&taken), taken.fault), (&*events(passed), fault));
}

#[rstest]
#[case::no_field("@@@!\n\n")]
#[case::not_text("\u{1}\u{2}: x\n\n")]
#[case::no_number("id: x\ndata: y\n\n")]
#[case::head_of_an_answer("HTTP/1.1 200 OK\r\nfoo: bar\r\n\r\n")]
fn garbage_is_no_event(#[case] garbage: &str) {
    let taken = take(&mut Splitter::new(None), &(event(1) + garbage + &event(2)));
    assert_eq!((text(&taken), taken.fault), (&*event(1), Some(Fault::Garbage)));
}

#[rstest]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n")]
#[case::no_space("id:1\ndata:a\n\n")]
#[case::other_fields_first("some-version: 3\nid: 1\nevent: token\ndata: a\n\n")]
#[case::comment(": still here\n\n")]
fn every_form_of_an_event_passes(#[case] event: &str) {
    let taken = take(&mut Splitter::new(None), event);
    assert_eq!((text(&taken), taken.fault), (event, None));
}

#[test]
fn an_event_without_a_number_leaves_no_point_to_go_on() {
    let mut splitter = Splitter::new(None);
    take(&mut splitter, &event(1));
    take(&mut splitter, ": comment\n\n");
    assert_eq!(splitter.point(), ResumePoint::After(1));
    take(&mut splitter, "data: end\n\n");
    assert_eq!(splitter.point(), ResumePoint::Unknown);
    take(&mut splitter, &event(2));
    assert_eq!(splitter.point(), ResumePoint::After(2));
}

#[test]
fn another_server_goes_on_without_the_half_event() {
    let mut splitter = Splitter::new(None);
    take(&mut splitter, &(events(&[1, 2]) + "id: 3\nda"));
    splitter.switch();
    let taken = take(&mut splitter, &("data: stray\n\n".to_owned() + &events(&[2, 3, 4])));
    assert_eq!((text(&taken), taken.fault), (&*events(&[3, 4]), None));
}

#[test]
fn an_event_is_bounded() {
    let mut splitter = Splitter::new(None);
    let chunk = "data: ".to_owned() + &"x".repeat(100 * 1024);
    assert_eq!(take(&mut splitter, &chunk).fault, None);
    assert_eq!(take(&mut splitter, &chunk).fault, None);
    assert_eq!(take(&mut splitter, &chunk).fault, Some(Fault::TooLarge));
    assert!(!splitter.has_partial_event());
}

#[test]
fn the_rest_is_given_out_at_the_true_end() {
    let mut splitter = Splitter::new(None);
    take(&mut splitter, &(event(1) + "data: end\n"));
    assert_eq!(splitter.take_remainder(), "data: end\n");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_split_gives_the_same(
        ids in prop::collection::vec(0u64..8, 0..12),
        cuts in prop::collection::vec(1usize..40, 1..40),
    ) {
        let all_events = events(&ids);
        let expected = take(&mut Splitter::new(Some(0)), &all_events);
        let mut splitter = Splitter::new(Some(0));
        let (mut passed, mut fault, mut rest) = (String::new(), None, &*all_events);
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() && fault.is_none() {
            let cut = cuts.next().map_or(1, |cut| (*cut).min(rest.len()));
            let taken = take(&mut splitter, &rest[..cut]);
            passed += text(&taken);
            fault = taken.fault;
            rest = &rest[cut..];
        }
        prop_assert_eq!((&*passed, fault), (text(&expected), expected.fault));
    }
}
