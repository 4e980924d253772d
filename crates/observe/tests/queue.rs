//! The queue in front of the log's writer.

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

/// Writes that are let through one by one.
struct Slow {
    go: mpsc::Receiver<()>,
    batches: Arc<Mutex<Vec<String>>>,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // No more permits: all goes through.
        let _ = self.go.recv();
        self.batches.lock().unwrap().push(String::from_utf8(bytes.to_vec()).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Held {
    lines: Lines,
    go: mpsc::Sender<()>,
    batches: Arc<Mutex<Vec<String>>>,
}

impl Held {
    fn new(waiting: usize, rate_limit: RateLimit) -> Held {
        let (go, held) = mpsc::channel();
        let batches = Arc::default();
        let sink = Slow { go: held, batches: Arc::clone(&batches) };
        let lines = Lines::start(Bounds { waiting, rate_limit, pause: PAUSE }, sink).unwrap();
        Held { lines, go, batches }
    }

    /// Lets all writes through and gives what was written.
    fn written(self) -> Vec<String> {
        drop(self.go);
        self.lines.flush();
        self.batches.lock().unwrap().clone()
    }
}

const WIDE: RateLimit = RateLimit { lines: 100_000, bytes: 100_000_000 };

#[test]
fn a_batch_is_one_write_and_a_stuck_reader_blocks_nobody() {
    let held = Held::new(1000, WIDE);
    held.lines.put(Class::Plan, &"first");
    while held.lines.waiting() != 0 {
        std::thread::yield_now();
    }
    // The writer is stuck with the first; of these, 20 lines of 50 bytes fit.
    let line = "x".repeat(49);
    (0..25).for_each(|_| held.lines.put(Class::Plan, &line));
    assert_eq!(held.lines.dropped(), Dropped { full: 5, ceiling: 0, plans: 5 });

    let batches = held.written();
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

/// Text that counts how often it is made.
struct Counted<'a>(&'a Cell<u32>);

impl fmt::Display for Counted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.set(self.0.get() + 1);
        f.write_str("line")
    }
}

#[test]
fn a_line_that_has_no_room_is_never_made() {
    let held = Held::new(10_000, RateLimit { lines: 0, bytes: 0 });
    let made = Cell::new(0);
    held.lines.put(Class::Belief, &Counted(&made));

    assert_eq!((made.get(), held.lines.dropped().ceiling), (0, 1));
}

#[test]
fn each_class_leaves_a_part_of_the_ceiling_to_those_above() {
    let mut window = Window::new(RateLimit { lines: 8, bytes: 8000 });
    let now = Duration::from_millis(1500);
    for (class, most) in [(Class::Request, 5), (Class::Belief, 1), (Class::Plan, 2)] {
        for _ in 0..most {
            assert_eq!(window.check(now, class), Ok(()));
            assert_eq!(window.consume(class, most + 1, 10), Err(Exceeded));
            assert_eq!(window.consume(class, 1, 8000), Err(Exceeded));
            window.consume(class, 1, 10).unwrap();
        }
        assert_eq!(window.check(now, class), Err(Exceeded), "{class:?}");
    }
    for class in [Class::Request, Class::Belief, Class::Plan] {
        assert_eq!(window.check(Duration::from_millis(2000), class), Ok(()));
    }
}

/// A rush of requests, and of news of servers, beside a planner at work.
#[test]
fn a_rush_pushes_out_no_plan() {
    let held = Held::new(WIDE.bytes, RateLimit { lines: 1000, bytes: 1_000_000 });
    for _ in 0..900 {
        held.lines.put(Class::Request, &"request");
        held.lines.put(Class::Belief, &"server");
    }
    (0..250).for_each(|_| held.lines.put(Class::Plan, &"order"));
    let dropped = held.lines.dropped();
    assert_eq!((dropped.plans, dropped.full), (0, 0));
    assert_eq!(dropped.ceiling, 900 + 900 - 750);
    held.lines.put(Class::Plan, &"order");
    assert_eq!(held.lines.dropped().plans, 1);
}

#[test]
fn a_reader_that_stopped_loses_requests_first() {
    let held = Held::new(800, WIDE);
    held.lines.put(Class::Plan, &"first");
    while held.lines.waiting() != 0 {
        std::thread::yield_now();
    }
    let line = "x".repeat(49);
    (0..20).for_each(|_| held.lines.put(Class::Request, &line));
    assert_eq!(held.lines.dropped(), Dropped { full: 10, ceiling: 0, plans: 0 });
    (0..2).for_each(|_| held.lines.put(Class::Belief, &line));
    (0..4).for_each(|_| held.lines.put(Class::Plan, &line));
    assert_eq!(held.lines.dropped(), Dropped { full: 10, ceiling: 0, plans: 0 });
    held.lines.put(Class::Plan, &line);
    assert_eq!(held.lines.dropped(), Dropped { full: 11, ceiling: 0, plans: 1 });
}
