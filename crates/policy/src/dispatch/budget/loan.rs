//! Retries that hosts lend each other.
//!
//! The lender first subtracts a loan from its own share. The loan counts until no request that the
//! borrower paid with it can arrive any more, and for a whole window from then on. So the hosts'
//! shares never add up to more, whichever messages are lost, late or duplicated. Clocks are not
//! compared: the borrower counts from its own request, which was sent before the lender's answer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// How long after sending its request a borrower may pay with the loan.
pub const VALIDITY: Duration = Duration::from_millis(500);

/// Time after which no retry paid with a loan can arrive any more: [`VALIDITY`] plus the time to
/// establish a connection.
pub const ARRIVAL_LIMIT: Duration = Duration::from_millis(2_000);

/// Number of retries that a host requests in one message.
pub const PORTION: u32 = 8;

/// A message between two hosts, which may be lost, late or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The service whose budget the message is about.
    pub service: service::Id,
    /// When the borrower sent its request, on its own clock. The answer repeats the value.
    #[serde(rename = "asked")]
    pub requested_at: Duration,
    /// Request or answer.
    pub content: Content,
}

/// Content of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// The sender requests a loan of this many retries.
    Request(u32),
    /// The sender lends this many retries, or none.
    Grant(u32),
}

/// Loans, each with its number of retries and the time until which it is valid.
#[derive(Clone, Debug, Default)]
pub struct Loans(VecDeque<(Moment, u32)>);

impl Loans {
    /// Adds retries that are valid until `until`.
    pub fn add(&mut self, count: u32, until: Moment) {
        self.0.push_back((until, count));
    }

    /// Number of retries that are still valid.
    pub fn count(&self, now: Moment) -> u32 {
        self.0.iter().filter(|(until, _)| now < *until).map(|(_, count)| count).sum()
    }

    /// Removes loans that are expired or used up.
    pub fn expire(&mut self, now: Moment) {
        self.0.retain(|(until, count)| now < *until && *count != 0);
    }

    /// Takes one valid retry, if there is one.
    pub fn take(&mut self, now: Moment) -> Option<()> {
        let (_, count) = self.0.iter_mut().find(|(until, count)| now < *until && *count != 0)?;
        *count -= 1;
        Some(())
    }
}
