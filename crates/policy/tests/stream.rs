//! Streams that are cut off, duplicated, late, interleaved and resumed.

use policy::stream::{Frame, Part, Reason, Stream, Verdict};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn frame(attempt: u32, part: Part) -> Frame<'static> {
    Frame { request: "r1", attempt, part }
}

/// A stream that has delivered two tokens and is in its second attempt.
fn stream() -> Stream {
    let mut stream = Stream::new("r1".into());
    stream.take(&frame(0, Part::Token(0)));
    stream.begin_attempt();
    stream.take(&frame(1, Part::Token(1)));
    stream
}

#[rstest]
#[case::next(frame(1, Part::Token(2)), Verdict::Deliver)]
#[case::doubled(frame(1, Part::Token(1)), Verdict::Drop(Reason::Duplicate))]
#[case::from_the_attempt_before(frame(0, Part::Token(2)), Verdict::Drop(Reason::Late))]
#[case::late_end(frame(0, Part::End(2)), Verdict::Drop(Reason::Late))]
#[case::of_another_request(
    Frame { request: "r2", attempt: 1, part: Part::Token(2) },
    Verdict::Drop(Reason::Stranger)
)]
#[case::gap(frame(1, Part::Token(3)), Verdict::Gap)]
#[case::end(frame(1, Part::End(2)), Verdict::Finish)]
#[case::end_too_early(frame(1, Part::End(1)), Verdict::Gap)]
#[case::end_too_late(frame(1, Part::End(9)), Verdict::Gap)]
fn each_frame_has_its_verdict(#[case] frame: Frame<'static>, #[case] expected: Verdict) {
    assert_eq!(stream().take(&frame), expected);
}

#[test]
fn nothing_follows_the_end() {
    let mut stream = stream();
    stream.take(&frame(1, Part::End(2)));
    assert!(stream.is_complete());
    assert_eq!(stream.take(&frame(1, Part::Token(2))), Verdict::Drop(Reason::AfterEnd));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Frames of any attempt, request and order, with a resumption at each gap: each token is
    /// delivered once, in order.
    #[test]
    fn each_token_is_delivered_once_in_order(
        frames in prop::collection::vec((0u64..12, 0u32..4, any::<bool>(), 0u8..10), 0..300)
    ) {
        let mut stream = Stream::new("r1".into());
        let mut delivered = Vec::new();
        for (offset, attempt, own, kind) in frames {
            let request = if own { "r1" } else { "r2" };
            let part = if kind == 0 { Part::End(offset) } else { Part::Token(offset) };
            let is_complete = stream.is_complete();
            match stream.take(&Frame { request, attempt, part }) {
                Verdict::Deliver => {
                    prop_assert!(own && !is_complete && attempt == stream.attempt());
                    delivered.push(offset);
                }
                Verdict::Finish => prop_assert_eq!(offset, delivered.len() as u64),
                Verdict::Gap => { stream.begin_attempt(); }
                Verdict::Drop(_) => {}
            }
        }
        prop_assert_eq!(delivered, (0..stream.next()).collect::<Vec<_>>());
    }
}
