//! Scripts of the server stand-ins: their timing and their faults.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use http::StatusCode;

use super::endless::Endless;

/// The behaviour of a server, which tests may change while it runs.
#[derive(Clone, Debug)]
pub struct Script {
    /// Time from the start of a run to the head of the answer; a stream's first event follows at
    /// once.
    pub work_time: Duration,
    /// Number of events of a complete stream.
    pub events: u64,
    /// Time between the events of a stream.
    pub event_interval: Duration,
    /// Whether streams have neither a length nor chunks, and end with their connections.
    pub is_unframed: bool,
    /// Faults of the next requests, one per request.
    pub faults: VecDeque<Fault>,
    /// The fault of every request after `faults` is used up; `None` serves them without a
    /// fault.
    pub default_fault: Option<Fault>,
    /// Faults of the next orders, one per order.
    pub order_faults: VecDeque<OrderFault>,
    /// A request whose path, query or body contains this text crashes the server.
    pub poison: Option<&'static str>,
    /// A request crashes the server that begins to answer it if this is the id of a part of its prompt
    /// other than the last.
    pub poison_part: Option<u64>,
    /// How old the state is that load reports show.
    pub report_age: Duration,
    /// How long the load of a model or adapter takes.
    pub load_time: Duration,
    /// Rejections for want of room in a second above which the server crashes, as answers state; no
    /// request waits for a slot then. `None` for a server that is not brittle.
    pub brittle: Option<u32>,
    /// Text of the rate limit that answers state, valid or not; `None` states no limit.
    pub limit: Option<Arc<str>>,
    /// Whether answers state that the server is leaving.
    pub is_leaving: bool,
    /// Text of the back-off time that answers with status 503 state, valid or not; `None` states
    /// none.
    pub back_off: Option<Arc<str>>,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            work_time: Duration::from_millis(2),
            events: 5,
            event_interval: Duration::from_millis(5),
            is_unframed: false,
            faults: VecDeque::new(),
            default_fault: None,
            order_faults: VecDeque::new(),
            poison: None,
            poison_part: None,
            report_age: Duration::ZERO,
            load_time: Duration::from_millis(50),
            brittle: None,
            limit: None,
            is_leaving: false,
            back_off: None,
        }
    }
}

impl Script {
    /// Takes the fault of the next request.
    pub(super) fn take_fault(&mut self) -> Option<Fault> {
        self.faults.pop_front().or(self.default_fault)
    }
}

/// The fault of one request.
///
/// `Truncated`, `Unframed`, `UnframedReset`, `Doubled` and `DoubledLate` take effect only at plain
/// servers; `Broken`, `Stalled` and `Short` only at model servers, which answer with streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request doesn't run, as the answer with this status states.
    NotRun(StatusCode),
    /// [`NotRun`](Fault::NotRun), but answered only after a time in which the server is silent.
    NotRunLate {
        /// Status of the answer.
        status: StatusCode,
        /// Time from the arrival of the request to the answer.
        after: Duration,
    },
    /// The request runs, and is answered with this status and the server's seal.
    Failed(StatusCode),
    /// The request runs, and the connection is closed without an answer.
    Lost,
    /// The request runs and is never answered; the connection stays open until the caller closes
    /// it.
    Silent,
    /// The answer has no seal.
    Unsealed,
    /// The answer has the id of another request.
    OtherId,
    /// The connection is closed before the announced length of the answer is sent.
    Truncated,
    /// The answer has no length and ends with the connection.
    Unframed,
    /// The answer has no length, and the connection is reset halfway through it.
    UnframedReset,
    /// The connection ends after this many bytes of the answer.
    Cut {
        /// Bytes that are sent; the answer is whole if it has no more.
        bytes: usize,
        /// How the body is framed.
        body: CutBody,
        /// Whether the connection is reset instead of closed.
        is_reset: bool,
    },
    /// Bytes are sent that aren't HTTP, and the connection is closed.
    Garbled,
    /// A second answer is sent right after the first.
    Doubled,
    /// A second answer is sent before the answer to the connection's next request.
    DoubledLate,
    /// The answer claims `Content-Encoding: gzip`.
    Encoded,
    /// The answer has `Connection: close`, and the connection is closed after it.
    Closing,
    /// The answer never ends; the connection stays open until the caller closes it.
    Endless {
        /// The part that never ends.
        part: Endless,
        /// Time between two pieces of it; zero sends as fast as the connection takes.
        pause: Duration,
    },
    /// The connection is closed in the middle of a stream's event.
    Broken {
        /// Complete events sent before the connection is closed.
        events: u64,
    },
    /// The stream stops without an end; the connection stays open until the caller closes it.
    Stalled {
        /// Events sent before the stream stops.
        events: u64,
    },
    /// The stream ends early between two events, framed as if it were complete.
    Short {
        /// Events sent before the stream ends.
        events: u64,
    },
}

/// The framing of an answer that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutBody {
    /// A length, in the last field of the head.
    Length,
    /// Two chunks and a trailer field.
    Chunks,
    /// The end of the connection.
    End,
}

/// The fault of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order is judged and applied, and the connection is closed without an answer.
    Lost,
    /// The order is never answered, and is judged and applied after this time.
    Late(Duration),
}
