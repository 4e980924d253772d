//! Checks the events of streams.

use super::{Judge, Promise};
use crate::routed::{
    soak::record::{Answer, Request},
    stream::Event,
};

impl Judge<'_> {
    /// Checks that a stream holds consecutive events from the first on, all of one software
    /// version and of servers that executed the request, and all of them if it ended as complete.
    pub(super) fn check_stream(
        &self,
        request: &Request,
        answer: &Answer,
    ) -> Option<(Promise, String)> {
        let text = String::from_utf8_lossy(&answer.body);
        let disordered = || Some((Promise::Order, format!("the stream is {text:?}")));
        let Some(events) = Event::parse_all(&text) else { return disordered() };
        let is_ordered = (1..).zip(&events).all(|(number, event)| event.number == number);
        let is_joined = events.iter().any(|event| event.software != events[0].software);
        if !is_ordered || is_joined || !is_end_sound(events.len() as u64, &text, answer) {
            return disordered();
        }
        let runs = self.runs(request);
        let is_foreign = |event: &&Event| runs.iter().all(|run| *run.server != *event.run);
        if let Some(event) = events.iter().find(is_foreign) {
            return Some((Promise::Mixed, format!("{} did not execute it", event.run)));
        }
        let (number, last) = (events.len() as u64, self.record.bounds.stream_events);
        (answer.is_complete && number != last || last < number)
            .then(|| (Promise::Order, format!("{number} events instead of {last}")))
    }
}

/// Whether nothing but the beginning of the next event follows the complete ones, and nothing
/// at all if the stream ended as complete.
fn is_end_sound(events: u64, text: &str, answer: &Answer) -> bool {
    let rest = text.rsplit_once("\n\n").map_or(text, |(_, rest)| rest);
    let next = format!("id: {0}\ndata: token {0} of ", events + 1);
    rest.is_empty() || !answer.is_complete && (next.starts_with(rest) || rest.starts_with(&next))
}
