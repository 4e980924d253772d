//! The queue between the log and its writer thread.

mod common;

use std::{
    cell::Cell,
    fmt,
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use log::Log;
use observe::log::{Bounds, Class, Dropped, Exceeded, Lines, RateLimit, Window};

const PAUSE: Duration = Duration::from_millis(1);

/// Sink whose writes wait for one permit each.
struct GatedWriter {
    permits: mpsc::Receiver<()>,
    batches: Arc<Mutex<Vec<String>>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, writes no longer wait.
        let _ = self.permits.recv();
        self.batches.lock().unwrap().push(String::from_utf8(bytes.to_vec()).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fixture {
    lines: Lines,
    permits: mpsc::Sender<()>,
    batches: Arc<Mutex<Vec<String>>>,
}

impl Fixture {
    fn new(capacity: usize, rate_limit: RateLimit) -> Fixture {
        let (permits, receiver) = mpsc::channel();
        let batches = Arc::default();
        let sink = GatedWriter { permits: receiver, batches: Arc::clone(&batches) };
        let lines = Lines::start(Bounds { capacity, rate_limit, pause: PAUSE }, sink).unwrap();
        Fixture { lines, permits, batches }
    }

    /// Lets all writes pass and returns the written batches.
    fn written(self) -> Vec<String> {
        drop(self.permits);
        self.lines.flush();
        self.batches.lock().unwrap().clone()
    }
}

const HIGH_LIMIT: RateLimit = RateLimit { lines: 100_000, bytes: 100_000_000 };

#[test]
fn a_batch_is_one_write_and_a_stuck_reader_blocks_nobody() {
    let fixture = Fixture::new(1000, HIGH_LIMIT);
    fixture.lines.put(Class::Plan, &"first");
    while fixture.lines.buffered_bytes() != 0 {
        std::thread::yield_now();
    }
    // The writer is blocked on the first line; of the following, 20 lines of 50 bytes fit.
    let line = "x".repeat(49);
    (0..25).for_each(|_| fixture.lines.put(Class::Plan, &line));
    assert_eq!(fixture.lines.dropped(), Dropped { full: 5, rate_limited: 0, plans: 5 });

    let batches = fixture.written();
    assert_eq!(batches[0], "first\n");
    assert_eq!(batches.len(), 2, "{batches:?}");
    let lines: Vec<&str> = batches[1].lines().collect();
    assert_eq!(lines[..20], vec![line.as_str(); 20]);
    assert!(
        lines[20].contains(r#""kind":"dropped","full":5,"ceiling":0,"plans":5"#),
        "{}",
        lines[20]
    );
}

/// Text that counts how often it is formatted.
struct CountingText<'a>(&'a Cell<u32>);

impl fmt::Display for CountingText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.set(self.0.get() + 1);
        f.write_str("line")
    }
}

#[test]
fn a_line_that_has_no_room_is_never_made() {
    let fixture = Fixture::new(10_000, RateLimit { lines: 0, bytes: 0 });
    let formatted = Cell::new(0);
    fixture.lines.put(Class::Belief, &CountingText(&formatted));

    assert_eq!((formatted.get(), fixture.lines.dropped().rate_limited), (0, 1));
}

#[test]
fn each_class_leaves_a_part_of_the_ceiling_to_those_above() {
    let mut window = Window::new(RateLimit { lines: 8, bytes: 8000 });
    let now = Duration::from_millis(1500);
    for (class, limit) in [(Class::Request, 5), (Class::Belief, 1), (Class::Plan, 2)] {
        for _ in 0..limit {
            assert_eq!(window.check(now, class), Ok(()));
            assert_eq!(window.consume(class, limit + 1, 10), Err(Exceeded));
            assert_eq!(window.consume(class, 1, 8000), Err(Exceeded));
            window.consume(class, 1, 10).unwrap();
        }
        assert_eq!(window.check(now, class), Err(Exceeded), "{class:?}");
    }
    for class in [Class::Request, Class::Belief, Class::Plan] {
        assert_eq!(window.check(Duration::from_millis(2000), class), Ok(()));
    }
}

/// Guards against the loss of plans in a burst of requests and changes of servers, which may use up
/// only their own parts of the rate limit.
#[test]
fn a_rush_pushes_out_no_plan() {
    let fixture = Fixture::new(HIGH_LIMIT.bytes, RateLimit { lines: 1000, bytes: 1_000_000 });
    for _ in 0..900 {
        fixture.lines.put(Class::Request, &"request");
        fixture.lines.put(Class::Belief, &"server");
    }
    (0..250).for_each(|_| fixture.lines.put(Class::Plan, &"order"));
    let dropped = fixture.lines.dropped();
    assert_eq!((dropped.plans, dropped.full), (0, 0));
    assert_eq!(dropped.rate_limited, 900 + 900 - 750);
    fixture.lines.put(Class::Plan, &"order");
    assert_eq!(fixture.lines.dropped().plans, 1);
}

#[test]
fn a_reader_that_stopped_loses_requests_first() {
    let fixture = Fixture::new(800, HIGH_LIMIT);
    fixture.lines.put(Class::Plan, &"first");
    while fixture.lines.buffered_bytes() != 0 {
        std::thread::yield_now();
    }
    let line = "x".repeat(49);
    (0..20).for_each(|_| fixture.lines.put(Class::Request, &line));
    assert_eq!(fixture.lines.dropped(), Dropped { full: 10, rate_limited: 0, plans: 0 });
    (0..2).for_each(|_| fixture.lines.put(Class::Belief, &line));
    (0..4).for_each(|_| fixture.lines.put(Class::Plan, &line));
    assert_eq!(fixture.lines.dropped(), Dropped { full: 10, rate_limited: 0, plans: 0 });
    fixture.lines.put(Class::Plan, &line);
    assert_eq!(fixture.lines.dropped(), Dropped { full: 11, rate_limited: 0, plans: 1 });
}
