//! Store calls that time out at a host that does not run. A test blocks the only thread of the
//! runtime, which is also the host's.
//!
//! What a host makes of a time-out shows when a server's entry is removed afterwards: a host that
//! holds the store for out keeps the server in use, as the entry may be written again.

mod common;

use std::{thread, time::Duration};

use common::{
    TIMEOUT, TestHost, request, route,
    server::Server,
    store::{Ending, Stall},
};
use rstest::rstest;
use tokio::{
    task::{AbortHandle, yield_now},
    time::sleep,
};
use types::routed::Kind;

/// Time given to a host to notice an event where the test can't observe that it has.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Time within which a change must be known that leaves a watch about as long as a stall.
const SHORT_DRAIN: Duration = Duration::from_secs(2);

/// Returns a stall of a call about the lease, whose timeout is 600 ms.
fn stall(blocked_ms: u64, ending: Ending) -> Stall {
    Stall { path: "/lease", blocked: Duration::from_millis(blocked_ms), ending }
}

fn answer_after(delay_ms: u64) -> Ending {
    Ending::Answer(Duration::from_millis(delay_ms))
}

/// Removes the entry of the host's server. Returns whether a request is sent to it afterwards.
async fn is_used_without_entry(host: &TestHost, server: &Server) -> bool {
    host.objects.deregister(&server.id);
    sleep(SETTLE_TIME / 2).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    server.is_called().await
}

/// Guards against a host that takes a time-out of its own for a failure of the store, and goes on
/// using a server that has left.
#[rstest]
#[case::until_the_answer(stall(2_500, answer_after(0)))]
#[case::past_the_timeout(stall(2_500, answer_after(200)))]
#[case::before_the_timeout(stall(400, answer_after(400)))]
#[tokio::test]
async fn a_call_during_which_the_host_stood_still_tells_nothing_of_the_store(#[case] stall: Stall) {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::Idempotent), &[&one]).await;
    sleep(SETTLE_TIME).await;
    host.objects.stall(stall).await;
    sleep(SETTLE_TIME).await;
    assert!(!is_used_without_entry(&host, &one).await, "the store was held for out");
}

/// Guards against a host that takes a watch for silent whose answer came while it stood still.
#[tokio::test]
async fn a_watch_during_which_the_host_stood_still_tells_nothing_of_the_store() {
    let one = Server::listen("one").await;
    let host = TestHost::start_with_drain(SHORT_DRAIN, route(Kind::Idempotent), &[&one]).await;
    thread::sleep(SHORT_DRAIN.mul_f64(1.5));
    sleep(SETTLE_TIME / 4).await;
    assert!(!is_used_without_entry(&host, &one).await, "the store was held for out");
}

/// Guards against a host that stood still and overlooks a failure which is an answer of the store.
#[tokio::test]
async fn a_connection_closed_by_the_store_is_a_failure_after_a_pause() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::Idempotent), &[&one]).await;
    sleep(SETTLE_TIME).await;
    host.objects.stall(stall(300, Ending::Close)).await;
    sleep(SETTLE_TIME).await;
    assert!(is_used_without_entry(&host, &one).await, "the failure did not count");
}

/// Blocks the thread at each turn of the host's tasks until it is aborted.
fn block() -> AbortHandle {
    let blocking = async {
        loop {
            thread::sleep(Duration::from_millis(100));
            yield_now().await;
        }
    };
    tokio::spawn(blocking).abort_handle()
}

/// Guards against a host that overlooks an outage: servers whose entries expire in it would be left
/// alone, though they are sound.
#[rstest]
#[case::on_time(false)]
#[case::late(true)]
#[tokio::test]
async fn a_silent_store_is_out(#[case] is_late: bool) {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::Idempotent), &[&one]).await;
    sleep(SETTLE_TIME).await;
    let blocking = is_late.then(block);
    host.objects.set_mute(true);
    sleep(TIMEOUT * 4 / 5).await;
    blocking.inspect(AbortHandle::abort);
    host.objects.set_mute(false);
    sleep(SETTLE_TIME).await;
    assert!(is_used_without_entry(&host, &one).await, "the outage was overlooked");
}
