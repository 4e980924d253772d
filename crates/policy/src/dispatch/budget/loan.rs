//! Retries that hosts lend each other.
//!
//! The lender takes what it lends out of its own share first. It counts it until no request can arrive
//! any more that the borrower paid with it, and for a whole window from then on, so that the hosts'
//! shares never add up to more, whatever message is lost, late, or comes twice. No clocks are compared:
//! the borrower counts from its own asking, which was before the lender's answer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// How long after its asking a borrower may pay with a loan.
pub const USABLE: Duration = Duration::from_millis(500);

/// Time after which nothing arrives any more that was paid with a loan: besides [`USABLE`], that for a
/// connection.
pub const LENT: Duration = Duration::from_millis(2_000);

/// Retries that are asked for at once.
pub const PORTION: u32 = 8;

/// A message from one host to another. It may be lost, late, or come twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The service whose budget it is about.
    pub service: service::Id,
    /// When the borrower asked, on its own clock.
    pub asked: Duration,
    /// What it says.
    pub content: Content,
}

/// What a message says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// The sender would borrow so many retries.
    Request(u32),
    /// The sender lends so many, or none.
    Grant(u32),
}

/// Retries, each until a time.
#[derive(Clone, Debug, Default)]
pub struct Loans(VecDeque<(Moment, u32)>);

impl Loans {
    /// Adds retries until a time.
    pub fn add(&mut self, count: u32, until: Moment) {
        self.0.push_back((until, count));
    }

    /// Retries whose time is not over.
    pub fn count(&self, now: Moment) -> u32 {
        self.0.iter().filter(|(until, _)| now < *until).map(|(_, count)| count).sum()
    }

    /// Drops those whose time is over.
    pub fn expire(&mut self, now: Moment) {
        self.0.retain(|(until, count)| now < *until && *count != 0);
    }

    /// Takes one whose time is not over, if there is one.
    pub fn take(&mut self, now: Moment) -> Option<()> {
        let (_, count) = self.0.iter_mut().find(|(until, count)| now < *until && *count != 0)?;
        *count -= 1;
        Some(())
    }
}
