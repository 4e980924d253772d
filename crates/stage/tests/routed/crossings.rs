//! Requests on callers' kept connections that cross a planned stop or a reload in pieces.
//!
//! The tests guard against a request that is passed on to a server and whose connection is then
//! closed without an answer.

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::caller::RequestSpec;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::site::{site, ticket};

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// Returns the bytes of a request.
fn bytes(spec: &RequestSpec) -> Vec<u8> {
    let request = spec.request();
    let (head, body) = request.into_parts();
    let mut bytes = format!("{} {} HTTP/1.1\r\n", head.method, head.uri).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    if !head.headers.contains_key("content-length") {
        bytes.extend(format!("content-length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Reads until a complete head has arrived or the connection is closed; returns whether an answer
/// has begun.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let reading = async {
        while !read.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read_buf(&mut read).await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
    };
    let _ = timeout(ANSWER_TIME, reading).await;
    sleep(Duration::from_millis(20)).await;
    read.starts_with(b"HTTP/1.1 ")
}

/// Where a request is cut in two pieces.
#[derive(Clone, Copy)]
enum Split {
    /// Nothing is sent before the signal.
    Start,
    Head,
    Body,
}

#[rstest]
#[tokio::test]
async fn a_request_that_is_passed_on_is_answered(
    #[values(Signal::SIGTERM, Signal::SIGHUP)] signal: Signal,
    #[values(Split::Start, Split::Head, Split::Body)] split: Split,
) {
    let site = site(1).await;
    let mut requests = JoinSet::new();
    for turn in 0..50 {
        let address = site.hosts[0].callers();
        // Around the time at which a planned stop closes idle connections.
        let second_at = match signal {
            Signal::SIGHUP => Duration::from_millis(turn * 4),
            _ => Duration::from_millis(2_300 + turn * 10),
        };
        requests.spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(&bytes(&ticket())).await.expect("a request is sent");
            assert!(is_answered(&mut stream).await, "the first request is not answered");
            let mut rest = vec![0; 64 * 1024];
            let _ = stream.try_read(&mut rest);
            sleep(Duration::from_millis(300)).await;
            let spec = ticket();
            let bytes = bytes(&spec);
            let middle = match split {
                Split::Start => 0,
                Split::Head => bytes.len() / 2,
                Split::Body => bytes.len() - 2,
            };
            sleep(second_at).await;
            let _ = stream.write_all(&bytes[..middle]).await;
            sleep(Duration::from_millis(30)).await;
            let _ = stream.write_all(&bytes[middle..]).await;
            (spec.id(), is_answered(&mut stream).await)
        });
    }
    sleep(Duration::from_millis(400)).await;
    site.hosts[0].signal(signal);
    let answers = requests.join_all().await;
    let arrived = |id: &str| {
        ["app-1", "app-2"].iter().any(|server| {
            site.backend.server(server).arrivals().iter().any(|arrival| &*arrival.id == id)
        })
    };
    let lost: Vec<_> = answers.iter().filter(|(id, answered)| !answered && arrived(id)).collect();
    assert!(lost.is_empty(), "passed on without an answer: {lost:?}");
    let passed_on = answers.iter().filter(|(id, _)| arrived(id)).count();
    assert_ne!(passed_on, 0, "no request was passed on");
    if signal == Signal::SIGTERM {
        assert!(passed_on < answers.len(), "no request crossed the close");
    }
}
