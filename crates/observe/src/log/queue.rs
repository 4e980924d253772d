//! Queue of fixed size between the log and its writer thread.
//!
//! Lines are formatted directly into one buffer, under a lock that is never held during I/O. The
//! writer thread takes the whole buffer at most once per [`Bounds::pause`], and writes it with one
//! call; it sleeps while the buffer is empty. When the buffer is full, because the reader of
//! standard output has stopped, or when the rate limit is reached, whole records are dropped and
//! counted. The next batch ends with a line that gives their number.

use std::{
    fmt::{self, Write as _},
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use log::{Log, Metadata, Record};
use log4rs::encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter};

use super::rate_limit::{Class, Exceeded, RateLimit, Window};
use crate::story;

/// Maximum time that [`Lines::flush`] waits for a blocked writer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of bytes that are buffered until the writer thread takes them.
    pub capacity: usize,
    /// Maximum output per second.
    pub rate_limit: RateLimit,
    /// Minimum time between two writes.
    pub pause: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            capacity: 256 * 1024,
            rate_limit: RateLimit::default(),
            pause: Duration::from_millis(100),
        }
    }
}

/// Numbers of dropped records; all lines that a request logs at once are one record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Records dropped because the queue was full.
    pub full: u64,
    /// Records dropped because the rate limit was reached.
    pub rate_limited: u64,
    /// Records of [`Class::Plan`], which are included in the other two numbers.
    pub plans: u64,
}

impl Dropped {
    /// Returns the number of dropped records for both causes.
    pub fn total(self) -> u64 {
        self.full + self.rate_limited
    }

    fn since(self, before: Dropped) -> Dropped {
        Dropped {
            full: self.full - before.full,
            rate_limited: self.rate_limited - before.rate_limited,
            plans: self.plans - before.plans,
        }
    }

    fn count(&mut self, class: Class, cause: Cause) {
        match cause {
            Cause::Full => self.full += 1,
            Cause::RateLimit => self.rate_limited += 1,
        }
        self.plans += u64::from(class == Class::Plan);
    }
}

/// Cause for which a record is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Full,
    RateLimit,
}

/// Producer end of the queue, which is also an appender of `log4rs`.
#[derive(Clone)]
pub struct Lines(Arc<Queue>);

struct Queue {
    origin: Instant,
    bounds: Bounds,
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    buffer: String,
    window: Window,
    /// Records dropped since the start.
    dropped: Dropped,
    /// The part of `dropped` that lines of the log have stated.
    reported: Dropped,
    writer: Writer,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Writer {
    /// The writer thread waits for lines.
    Idle,
    /// The writer thread collects or writes a batch.
    Batching,
    /// The writer thread is asked to write without waiting for more lines.
    Flushing,
}

impl Lines {
    /// Starts a thread that writes to `sink`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start(bounds: Bounds, sink: impl Write + Send + 'static) -> std::io::Result<Lines> {
        let queue = Arc::new(Queue {
            origin: Instant::now(),
            bounds,
            state: Mutex::new(State {
                buffer: String::with_capacity(bounds.capacity),
                window: Window::new(bounds.rate_limit),
                dropped: Dropped::default(),
                reported: Dropped::default(),
                writer: Writer::Idle,
            }),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&queue);
        thread::Builder::new().name("log".into()).spawn(move || writer.run_writer(sink))?;
        Ok(Lines(queue))
    }

    /// Returns the number of records dropped since the start.
    pub fn dropped(&self) -> Dropped {
        self.0.lock().dropped
    }

    /// Returns the number of bytes that the writer has not taken yet.
    pub fn buffered_bytes(&self) -> usize {
        self.0.lock().buffer.len()
    }

    /// Appends a record, which is one or more whole lines, or drops and counts it.
    ///
    /// A record is not even formatted if the queue is already full or the rate limit reached.
    pub fn put(&self, class: Class, record: &dyn fmt::Display) {
        self.0.put(class, |buffer| writeln!(buffer, "{record}"));
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        match record.target() {
            story::REQUEST => self.put(Class::Request, record.args()),
            story::BELIEF => self.put(Class::Belief, record.args()),
            story::PLAN => self.put(Class::Plan, record.args()),
            _ => self.0.put(Class::Belief, |buffer| {
                let mut bytes = SimpleWriter(Vec::new());
                JsonEncoder::new().encode(&mut bytes, record).map_err(|_| fmt::Error)?;
                buffer.write_str(&String::from_utf8_lossy(&bytes.0))
            }),
        }
    }

    /// Waits until the buffered lines are written, for at most one second.
    fn flush(&self) {
        let mut state = self.0.lock();
        if state.buffer.is_empty() && state.writer == Writer::Idle {
            return;
        }
        state.writer = Writer::Flushing;
        self.0.changed.notify_all();
        let is_pending = |state: &mut State| state.writer != Writer::Idle;
        let _ = self.0.changed.wait_timeout_while(state, FLUSH_TIMEOUT, is_pending);
    }
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("bounds", &self.0.bounds).finish_non_exhaustive()
    }
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while a line is formatted leaves an incomplete line, which readers skip.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, class: Class, append: impl FnOnce(&mut String) -> fmt::Result) {
        let mut state = self.lock();
        let state = &mut *state;
        if state.window.check(self.origin.elapsed(), class).is_err() {
            return state.dropped.count(class, Cause::RateLimit);
        }
        // If the reader falls behind, records of requests are dropped first.
        let limit = class.part(self.bounds.capacity);
        if limit <= state.buffer.len() {
            return state.dropped.count(class, Cause::Full);
        }
        let start = state.buffer.len();
        // Formatting fails only if the record's own `Display` does; the line is then incomplete.
        let _ = append(&mut state.buffer);
        let written = &state.buffer.as_bytes()[start..];
        let (lines, bytes) = (written.iter().filter(|byte| **byte == b'\n').count(), written.len());
        let cause = match limit < state.buffer.len() {
            true => Some(Cause::Full),
            false => {
                state.window.consume(class, lines, bytes).err().map(|Exceeded| Cause::RateLimit)
            }
        };
        if let Some(cause) = cause {
            state.buffer.truncate(start);
            return state.dropped.count(class, cause);
        }
        if state.writer == Writer::Idle {
            state.writer = Writer::Batching;
            self.changed.notify_all();
        }
    }

    /// Loop of the writer thread, until the process ends.
    fn run_writer(&self, mut sink: impl Write) {
        let mut batch = String::with_capacity(self.bounds.capacity);
        loop {
            self.take_batch(&mut batch);
            // A failure to write to standard output can't be reported anywhere.
            let _ = sink.write_all(batch.as_bytes()).and_then(|()| sink.flush());
            batch.clear();
            self.finish_batch();
        }
    }

    /// Waits for lines, collects more for [`Bounds::pause`], and swaps them into `batch`.
    fn take_batch(&self, batch: &mut String) {
        let state = self.lock();
        let state = self
            .changed
            .wait_while(state, |state| state.writer == Writer::Idle)
            .unwrap_or_else(PoisonError::into_inner);
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, self.bounds.pause, |state| state.writer == Writer::Batching)
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut state.buffer, batch);
        let dropped = state.dropped.since(state.reported);
        state.reported = state.dropped;
        drop(state);
        if 0 < dropped.total() {
            let _ = writeln!(batch, "{}", story::dropped(dropped));
        }
    }

    fn finish_batch(&self) {
        let mut state = self.lock();
        if state.buffer.is_empty() {
            state.writer = Writer::Idle;
            self.changed.notify_all();
        }
    }
}
