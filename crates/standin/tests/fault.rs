//! Tests of the fault proxy: each fault as both ends of a connection observe it.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rstest::rstest;
use standin::fault::{Direction, Fault, Interception, NewConnections, Proxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// How long a connection has to stay without bytes to count as silent. Bytes that are not held
/// arrive well within this time.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Echo server that counts received bytes and ended connections.
struct Echo {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

impl Echo {
    async fn start() -> Echo {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (bytes, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let echo = Echo { address, bytes: bytes.clone(), ended: ended.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (bytes, ended) = (bytes.clone(), ended.clone());
                tokio::spawn(async move {
                    let _ = echo_back(stream, &bytes).await;
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        echo
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::SeqCst)
    }

    async fn until_bytes(&self, bytes: u64) {
        while self.bytes() < bytes {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn until_ended(&self, connections: u64) {
        while self.ended.load(Ordering::SeqCst) < connections {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn echo_back(mut stream: TcpStream, bytes: &AtomicU64) -> io::Result<()> {
    let mut chunk = [0; 4096];
    loop {
        let length = stream.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        bytes.fetch_add(length as u64, Ordering::SeqCst);
        stream.write_all(&chunk[..length]).await?;
    }
}

async fn connect() -> (Echo, Proxy, TcpStream) {
    let echo = Echo::start().await;
    let proxy = Proxy::start(echo.address).await.unwrap();
    let stream = TcpStream::connect(proxy.address()).await.unwrap();
    (echo, proxy, stream)
}

async fn echo_text(stream: &mut TcpStream, text: &str) -> io::Result<String> {
    stream.write_all(text.as_bytes()).await?;
    read_text(stream, text.len()).await
}

async fn read_text(stream: &mut TcpStream, length: usize) -> io::Result<String> {
    let mut answer = vec![0; length];
    stream.read_exact(&mut answer).await?;
    Ok(String::from_utf8(answer).expect("the echo is the text that was sent"))
}

async fn receives_nothing(stream: &mut TcpStream) -> bool {
    tokio::time::timeout(QUIET_TIME, stream.read_u8()).await.is_err()
}

fn assert_reset<T: std::fmt::Debug>(result: io::Result<T>) {
    let kind = result.unwrap_err().kind();
    let kinds = [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe];
    assert!(kinds.contains(&kind), "{kind:?}");
}

#[tokio::test]
async fn passes_bytes_and_closings_and_counts_them() {
    let (echo, proxy, mut stream) = connect().await;

    assert_eq!(echo_text(&mut stream, "hello").await.unwrap(), "hello");
    stream.shutdown().await.unwrap();

    assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0);
    echo.until_ended(1).await;
    assert_eq!((proxy.bytes(Direction::ToTarget), proxy.bytes(Direction::ToClient)), (5, 5));
    assert_eq!((proxy.accepted(), proxy.refused()), (1, 0));
}

#[tokio::test]
async fn delay_does_not_add_up_over_pieces() {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();
    let (chunks, delay) = (100, Duration::from_millis(50));
    proxy.set(Direction::ToClient, Fault::Delay(delay));

    let start = Instant::now();
    for number in 1..=chunks {
        stream.write_all(b"x").await.unwrap();
        echo.until_bytes(4 + number).await;
    }
    read_text(&mut stream, chunks as usize).await.unwrap();

    // A delay that adds up over the chunks would take a hundred times as long.
    let taken = start.elapsed();
    assert!(delay <= taken && taken < delay * chunks as u32, "{taken:?}");
}

#[rstest]
#[case::requests(Direction::ToTarget, 4)]
#[case::answers(Direction::ToClient, 9)]
#[tokio::test]
async fn one_way_loss_holds_one_direction_alone(
    #[case] direction: Direction,
    #[case] arrived: u64,
) {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    proxy.set(direction, Fault::Hold);
    stream.write_all(b"later").await.unwrap();
    assert!(receives_nothing(&mut stream).await);
    assert_eq!(echo.bytes(), arrived);

    proxy.heal();
    assert_eq!(read_text(&mut stream, 5).await.unwrap(), "later");
}

#[tokio::test]
async fn held_link_lets_in_new_connections_and_stays_silent() {
    let (echo, proxy, _stream) = connect().await;
    proxy.set_both(Fault::Hold);

    let mut late = TcpStream::connect(proxy.address()).await.unwrap();
    late.write_all(b"late").await.unwrap();
    assert!(receives_nothing(&mut late).await);
    assert_eq!(echo.bytes(), 0);

    proxy.heal();
    assert_eq!(read_text(&mut late, 4).await.unwrap(), "late");
}

#[rstest]
#[case::held(Fault::Hold)]
#[case::discarded(Fault::Discard)]
#[tokio::test]
async fn half_open_connection_stays_at_the_far_end(#[case] fault: Fault) {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    proxy.set(Direction::ToTarget, fault);
    drop(stream);
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(echo.ended.load(Ordering::SeqCst), 0);

    proxy.heal();
    echo.until_ended(1).await;
}

#[tokio::test]
async fn discarded_bytes_never_come_and_the_connection_is_reset_afterwards() {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    proxy.set(Direction::ToTarget, Fault::Discard);
    stream.write_all(b"lost").await.unwrap();
    assert!(receives_nothing(&mut stream).await);
    proxy.heal();

    assert_reset(stream.read_u8().await);
    assert_eq!(echo.bytes(), 4);
}

#[tokio::test]
async fn cut_resets_both_ends_of_what_stands_and_lets_in_new_ones() {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    proxy.reset_connections();

    assert_reset(stream.read_u8().await);
    echo.until_ended(1).await;
    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut next, "again").await.unwrap(), "again");
}

#[tokio::test]
async fn shut_door_resets_new_connections_alone() {
    let (_echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();
    proxy.set_new_connections(NewConnections::Reset);

    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    let _ = next.write_all(b"hello").await;
    assert_reset(next.read_u8().await);
    assert_eq!(echo_text(&mut stream, "still").await.unwrap(), "still");
    assert_eq!(proxy.refused(), 1);

    proxy.heal();
    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut next, "again").await.unwrap(), "again");
}

#[rstest]
#[case::before_the_first(0)]
#[case::within(3)]
#[case::after_the_last(5)]
#[tokio::test]
async fn cut_after_counts_from_when_it_was_set(#[case] limit: u64) {
    let (_echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    proxy.set(Direction::ToClient, Fault::ResetAfter(limit));
    stream.write_all(b"hello").await.unwrap();

    let mut received = Vec::new();
    assert_reset(stream.read_to_end(&mut received).await);
    assert_eq!(received, &b"hello"[..limit as usize]);
}

#[tokio::test]
async fn lost_answer_after_the_request_got_through() {
    let (echo, proxy, mut stream) = connect().await;
    let interceptor = proxy.intercept("PUT /objects/a", Interception::LoseAnswer);
    assert_eq!(echo_text(&mut stream, "GET /objects/a").await.unwrap(), "GET /objects/a");
    assert!(!interceptor.has_triggered());

    stream.write_all(b"PUT /objects/a").await.unwrap();

    assert_reset(stream.read_u8().await);
    assert!(interceptor.has_triggered());
    assert_eq!(echo.bytes(), 28);
}

#[tokio::test]
async fn lost_request_never_arrives_and_the_next_one_does() {
    let (echo, proxy, mut stream) = connect().await;
    let interceptor = proxy.intercept("POST /orders", Interception::LoseRequest);

    stream.write_all(b"POST /orders 1").await.unwrap();
    assert_reset(stream.read_u8().await);
    interceptor.triggered().await;
    assert_eq!(echo.bytes(), 0);

    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut next, "POST /orders 2").await.unwrap(), "POST /orders 2");
}

#[rstest]
#[case::request(Interception::HoldRequest, 0)]
#[case::answer(Interception::HoldAnswer, 5)]
#[tokio::test]
async fn held_request_comes_after_its_successor(
    #[case] interception: Interception,
    #[case] arrived: u64,
) {
    let (echo, proxy, mut first) = connect().await;
    let interceptor = proxy.intercept("one", interception);
    first.write_all(b"  one").await.unwrap();
    interceptor.triggered().await;
    assert_eq!(echo.bytes(), arrived);

    let mut second = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut second, "two").await.unwrap(), "two");
    assert!(receives_nothing(&mut first).await);
    interceptor.release();

    assert_eq!(read_text(&mut first, 5).await.unwrap(), "  one");
}

#[tokio::test]
async fn sliced_bytes_come_whole_and_in_order() {
    let (_echo, proxy, mut stream) = connect().await;
    proxy.slice(1);
    let text = "data: {\"token\":1}\n\n".repeat(50);

    assert_eq!(echo_text(&mut stream, &text).await.unwrap(), text);
}

#[tokio::test]
async fn target_that_is_gone_resets_the_caller() {
    let (echo, proxy, _stream) = connect().await;
    let spare = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    proxy.retarget(spare.local_addr().unwrap());
    drop(spare);

    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_reset(stream.read_u8().await);

    proxy.retarget(echo.address);
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut stream, "back").await.unwrap(), "back");
}

#[tokio::test]
async fn dropped_proxy_ends_its_connections() {
    let (echo, proxy, mut stream) = connect().await;
    echo_text(&mut stream, "warm").await.unwrap();

    drop(proxy);

    assert!(stream.read(&mut [0; 1]).await.map_or(true, |length| length == 0));
    echo.until_ended(1).await;
}

#[tokio::test]
async fn refused_connections_fail_at_once_and_open_ones_live_on() {
    let (_echo, proxy, mut open) = connect().await;
    assert_eq!(echo_text(&mut open, "a").await.unwrap(), "a");
    proxy.set_new_connections(NewConnections::Refuse);
    tokio::time::sleep(QUIET_TIME).await;
    let refused = TcpStream::connect(proxy.address()).await;
    assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    assert_eq!(echo_text(&mut open, "b").await.unwrap(), "b");
    proxy.heal();
    tokio::time::sleep(QUIET_TIME).await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut stream, "c").await.unwrap(), "c");
}

#[tokio::test]
async fn ignored_connections_hang_until_the_fault_is_removed() {
    let (_echo, proxy, _open) = connect().await;
    proxy.set_new_connections(NewConnections::Ignore);
    tokio::time::sleep(QUIET_TIME).await;
    for _ in 0..3 {
        let connecting = TcpStream::connect(proxy.address());
        assert!(tokio::time::timeout(QUIET_TIME, connecting).await.is_err());
    }
    proxy.heal();
    tokio::time::sleep(QUIET_TIME).await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo_text(&mut stream, "c").await.unwrap(), "c");
}

#[rstest]
#[case::reset_meanwhile(true)]
#[case::still_open(false)]
#[tokio::test]
async fn bytes_behind_a_partition_are_lost_if_their_sender_resets(#[case] is_reset: bool) {
    let (echo, proxy, mut stream) = connect().await;
    assert_eq!(echo_text(&mut stream, "a").await.unwrap(), "a");
    proxy.set_both(Fault::Partition);
    stream.write_all(b"late").await.unwrap();
    tokio::time::sleep(QUIET_TIME).await;
    if is_reset {
        stream.set_zero_linger().unwrap();
        drop(stream);
        tokio::time::sleep(QUIET_TIME).await;
    }
    proxy.heal();
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(echo.bytes(), if is_reset { 1 } else { 5 });
}
