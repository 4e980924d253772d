//! Notices for a host whose reader of [`Exchange::notices`] is slower than they arrive.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use exchange::{
    Config, Exchange, Refusal, ServerListing, Source,
    fleet::{Departure, Envelope, Notice, Publication, Recipients, Revision, State},
};
use futures_util::{FutureExt, future::BoxFuture};
use rstest::rstest;
use tokio::{
    net::TcpStream,
    sync::mpsc::Receiver,
    time::{sleep, timeout},
};
use types::{
    backend,
    routed::{Declaration, Sequence, Version},
};

/// Timeout of each wait; far longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which a notice is acknowledged, or given up by its sender.
const RESEND_TIME: Duration = Duration::from_secs(2);

/// Number of notices; far more than a host keeps for its reader.
const FLOOD: u64 = 3_000;

/// Most notices that a host keeps for its reader: 2,048 that wait, those of one more datagram, and
/// 128 that are handed over.
const MAX_KEPT: usize = 2_300;

/// Most notices without a bound that may be read before one with a bound.
const MAX_AHEAD: usize = 256;

struct EmptySource;

impl Source for EmptySource {
    fn declaration(&self, _: Version) -> Option<Arc<Declaration>> {
        None
    }

    fn servers(&self, _: Revision) -> Option<ServerListing> {
        None
    }

    fn follow(&self, _: Revision) -> Option<ServerListing> {
        None
    }

    fn dial(&self, _: backend::Id) -> BoxFuture<'static, Result<TcpStream, Refusal>> {
        async { Err(Refusal::Declined) }.boxed()
    }
}

async fn start(host: u64, seeds: Vec<SocketAddr>) -> Arc<Exchange> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let name = format!("host-{host}").into();
    let config = Config { seeds, ..Config::new(name, "biloxi-hall".into(), address, host + 1_000) };
    let exchange = Exchange::start(config, Arc::new(EmptySource)).await.expect("loopback");
    exchange.publish(Publication::State(State::Ready));
    exchange
}

/// A host that sends notices, another one, and the other one's reader.
async fn sender_and_reader() -> (Arc<Exchange>, Arc<Exchange>, Receiver<Envelope>) {
    let sender = start(0, Vec::new()).await;
    let slow = start(1, vec![sender.member().address]).await;
    let reader = slow.notices().expect("not taken yet");
    let are_known = async {
        while sender.fleet().live != 2 || slow.fleet().live != 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, are_known).await.expect("the hosts know each other");
    (sender, slow, reader)
}

fn loaded(sequence: Sequence) -> Notice {
    Notice::Loaded { server: "i-1".into(), model: "sage".into(), adapter: None, sequence }
}

fn departure(number: u64) -> Notice {
    Notice::ServerLeaving {
        server: format!("i-{number}").into(),
        departure: Departure::Leaving,
        revision: number,
    }
}

/// Sends notices until each is acknowledged or given up.
async fn flood(sender: &Exchange, notice: fn(u64) -> Notice) {
    for number in 1..=FLOOD {
        sender.send(Recipients::All, notice(number)).expect("all hosts");
        if number % 50 == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }
    sleep(RESEND_TIME).await;
}

/// Reads until no notice has arrived for a time in which each is sent again.
async fn read(reader: &mut Receiver<Envelope>) -> Vec<Notice> {
    let mut notices = Vec::new();
    let began = Instant::now();
    while let Ok(Some(received)) = timeout(RESEND_TIME, reader.recv()).await {
        assert!(began.elapsed() < TIMEOUT, "the notices have no end");
        notices.push(received.notice);
    }
    notices
}

/// Guards against a departure or a version that is acknowledged and then dropped, or that waits
/// behind what has no bound.
#[rstest]
#[case::departure(departure(7))]
#[case::declaration(Notice::DeclarationInForce { version: 7 })]
#[tokio::test]
async fn a_notice_with_a_bound_precedes_a_flood_of_others(#[case] bounded: Notice) {
    let (sender, _slow, mut reader) = sender_and_reader().await;
    flood(&sender, loaded).await;
    sender.send(Recipients::Host("host-1".into()), bounded.clone()).expect("known");
    sleep(RESEND_TIME).await;
    let notices = read(&mut reader).await;
    let position = notices.iter().position(|notice| *notice == bounded);
    assert!(
        position.is_some_and(|position| position <= MAX_AHEAD),
        "{position:?} of {} notices",
        notices.len()
    );
}

/// Guards against a notice that is acknowledged and then dropped: its sender does not know that it is
/// lost. What is kept for the reader is limited, whatever the notices say.
#[rstest]
#[case::loaded(loaded)]
#[case::departures(departure)]
#[tokio::test]
async fn each_notice_is_read_or_counted_as_lost_by_its_sender(#[case] notice: fn(u64) -> Notice) {
    let (sender, slow, mut reader) = sender_and_reader().await;
    flood(&sender, notice).await;
    let notices = read(&mut reader).await;
    assert!(notices.len() < MAX_KEPT, "{} kept", notices.len());
    let read: HashSet<_> = notices.into_iter().collect();
    let lost = sender.counts().lost_notices;
    assert!(
        FLOOD <= read.len() as u64 + lost,
        "{} read, {lost} counted as lost, {} dropped",
        read.len(),
        slow.dropped_notices()
    );
}

/// Guards against a socket that is not read while the reader of notices is late.
#[tokio::test]
async fn hosts_stay_live_while_the_reader_of_notices_is_late() {
    let (sender, slow, _reader) = sender_and_reader().await;
    flood(&sender, departure).await;
    // Longer than the time without a packet after which a host is silent.
    sleep(Duration::from_secs(4)).await;
    assert!(0 < slow.dropped_notices());
    assert_eq!((sender.fleet().live, slow.fleet().live), (2, 2));
}
