//! Checks what callers received of streams that broke and were taken up again.

use serde::Serialize;

use super::{Attempt, Stream};

/// What is wrong with the events of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Two versions of the software wrote events of the stream.
    Joined(String),
    /// The events are not consecutive from 1 on, or can't be parsed.
    Disordered(String),
}

/// Returns what is wrong with a stream, over all attempts of its caller.
pub fn check(stream: &Stream) -> Option<Breach> {
    let describe = || {
        let attempts = stream.attempts.iter().map(|attempt| {
            let events = attempt.events.iter().flatten();
            let events: Vec<_> = events.map(|event| event.data()).collect();
            format!("{} at host {}: {events:?}", attempt.id, attempt.host)
        });
        attempts.collect::<Vec<_>>().join("; ")
    };
    let is_readable = stream.attempts.iter().all(|attempt| attempt.events.is_some());
    let is_ordered = (1..).zip(stream.events()).all(|(number, event)| event.number == number);
    if !is_readable || !is_ordered {
        return Some(Breach::Disordered(describe()));
    }
    let first = stream.events().next()?;
    let is_joined = stream.events().any(|event| event.software != first.software);
    is_joined.then(|| Breach::Joined(describe()))
}

/// How many attempts went on, of those that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Share {
    /// Attempts that brought an event.
    pub going_on: usize,
    /// All attempts.
    pub all: usize,
}

impl Share {
    fn add(&mut self, attempt: &Attempt) {
        self.all += 1;
        self.going_on += usize::from(attempt.goes_on());
    }

    fn ratio(self) -> f64 {
        self.going_on as f64 / self.all.max(1) as f64
    }
}

/// How many new streams began, and how many streams went on when they were taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Shares {
    /// Attempts at new streams.
    pub begun: Share,
    /// Attempts that took a stream up.
    pub resumed: Share,
}

impl Shares {
    /// Counts the attempts that `counts` selects.
    pub fn of<'a>(
        streams: impl IntoIterator<Item = &'a Stream>,
        counts: impl Fn(&Stream, &Attempt) -> bool,
    ) -> Shares {
        let mut shares = Shares::default();
        for stream in streams {
            for attempt in stream.attempts.iter().filter(|attempt| counts(stream, attempt)) {
                match attempt.resumed {
                    None => shares.begun.add(attempt),
                    Some(_) => shares.resumed.add(attempt),
                }
            }
        }
        shares
    }

    /// Whether streams that are taken up go on at least half as often as new ones begin.
    pub fn are_fair(self) -> bool {
        self.begun.ratio() / 2.0 <= self.resumed.ratio() || self.resumed.all == 0
    }
}
