//! How a server behaves, and how it misbehaves.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use http::StatusCode;

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct Script {
    /// Time until the head of an answer, and until a stream's first event.
    pub work_time: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Time between events.
    pub event_interval: Duration,
    /// Faults of the next requests, one each.
    pub faults: VecDeque<Fault>,
    /// The fault of every request beyond those.
    pub default_fault: Option<Fault>,
    /// Faults of the next orders, one each.
    pub order_faults: VecDeque<OrderFault>,
    /// A request whose body holds this crashes the server.
    pub poison: Option<&'static str>,
    /// Age of its reports.
    pub report_age: Duration,
    /// Time that loads take.
    pub load_time: Duration,
    /// The limit that its answers name, in whatever words.
    pub limit: Option<Arc<str>>,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            work_time: Duration::from_millis(2),
            events: 5,
            event_interval: Duration::from_millis(5),
            faults: VecDeque::new(),
            default_fault: None,
            order_faults: VecDeque::new(),
            poison: None,
            report_age: Duration::ZERO,
            load_time: Duration::from_millis(50),
            limit: None,
        }
    }
}

impl Script {
    pub(super) fn fault(&mut self) -> Option<Fault> {
        self.faults.pop_front().or(self.default_fault)
    }
}

/// How one request fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not run, and the answer says so.
    NotRun(StatusCode),
    /// It runs and fails, sealed.
    Failed(StatusCode),
    /// It runs, and its answer is lost with the connection.
    Lost,
    /// It runs, and no answer comes.
    Silent,
    /// Its answer has no seal.
    Unsealed,
    /// Its answer names another request.
    OtherId,
    /// Its answer ends before its length is reached.
    Truncated,
    /// Its answer has no length and ends with the connection.
    Unframed,
    /// Its answer has no length, and the connection is reset in the middle.
    UnframedReset,
    /// Bytes come that are no answer.
    Garbled,
    /// A second answer follows at once.
    Doubled,
    /// A second answer comes when the connection's next request is due an answer.
    DoubledLate,
    /// Its answer comes under an encoding.
    Encoded,
    /// Its connection is closed after the answer, as the answer says.
    Closing,
    /// The stream breaks off after some events, in the middle of the next.
    Broken {
        /// Whole events before the break.
        events: u64,
    },
    /// The stream falls silent after some events.
    Stalled {
        /// Events before the silence.
        events: u64,
    },
    /// The stream ends as if it were complete after some events.
    Short {
        /// Events before the end.
        events: u64,
    },
}

/// How one order fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// It is taken, and its answer is lost.
    Lost,
    /// It gets no answer, and is judged and carried out after this time.
    Late(Duration),
}
