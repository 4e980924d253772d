//! A scripted server: the test determines each byte sent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::within;

/// A listening server.
pub struct Server {
    pub id: Arc<str>,
    pub address: SocketAddr,
    listener: TcpListener,
}

/// A connection from the host to a server, at the server's end.
pub struct Connection {
    stream: TcpStream,
}

/// A request as it was received.
#[derive(Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

impl Server {
    pub async fn listen(id: &str) -> Server {
        Server::with_listener(id, TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }

    pub fn with_listener(id: &str, listener: TcpListener) -> Server {
        let address = listener.local_addr().expect("an address");
        Server { id: id.into(), address, listener }
    }

    pub async fn accept(&self) -> Connection {
        let (stream, _) = within(self.listener.accept()).await.expect("a connection");
        Connection { stream }
    }

    /// Returns whether a connection arrives within 300 ms.
    pub async fn is_called(&self) -> bool {
        let short = Duration::from_millis(300);
        tokio::time::timeout(short, self.listener.accept()).await.is_ok()
    }
}

/// Accepts the first connection to either server; returns it with the other server.
pub async fn accept_first<'a>(one: &'a Server, other: &'a Server) -> (Connection, &'a Server) {
    tokio::select! {
        connection = one.accept() => (connection, other),
        connection = other.accept() => (connection, one),
    }
}

impl Connection {
    /// Reads the head of a request.
    pub async fn head(&mut self) -> String {
        self.try_head().await.expect("a head")
    }

    /// Reads the head of a request; `None` if the connection is closed before its end.
    pub async fn try_head(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(within(self.stream.read_u8()).await.ok()?);
        }
        Some(String::from_utf8(head).expect("text"))
    }

    /// Reads a request with its body.
    pub async fn receive(&mut self) -> Received {
        let mut received = Received { head: self.head().await, body: Vec::new() };
        let length = received.header("content-length").and_then(|text| text.parse().ok());
        received.body = vec![0; length.unwrap_or(0)];
        within(self.stream.read_exact(&mut received.body)).await.expect("a body");
        received
    }

    pub async fn write(&mut self, text: &str) {
        within(self.stream.write_all(text.as_bytes())).await.expect("written");
    }

    /// Writes a text repeatedly until the socket has accepted no byte for 300 ms; returns the
    /// number of bytes written.
    pub async fn flood(&mut self, text: &str) -> usize {
        let (text, mut bytes) = (text.as_bytes(), 0);
        let pause = Duration::from_millis(300);
        loop {
            let rest = &text[bytes % text.len()..];
            match tokio::time::timeout(pause, self.stream.write(rest)).await {
                Ok(written) => bytes += written.expect("an open connection"),
                Err(_) => return bytes,
            }
        }
    }

    /// Waits until the host closes the connection; panics if a byte arrives before that.
    pub async fn closed(&mut self) {
        let mut byte = [0];
        match within(self.stream.read(&mut byte)).await {
            Ok(0) | Err(_) => {}
            Ok(_) => panic!("more bytes on a connection that should close"),
        }
    }

    /// Reads until the host closes the connection; returns the number of bytes read.
    pub async fn drain(&mut self) -> usize {
        let (mut buffer, mut bytes) = (vec![0; 64 * 1024], 0);
        while let Ok(read @ 1..) = within(self.stream.read(&mut buffer)).await {
            bytes += read;
        }
        bytes
    }

    /// Closes the connection with a reset; bytes not yet sent are discarded.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }
}

/// Returns an answer whose body is framed by `content-length`.
pub fn answer(name: &str, body: &str) -> String {
    let length = body.len();
    format!("{}content-length: {length}\r\n\r\n{body}", head(name))
}

/// Returns the head of an event stream with chunked framing.
pub fn stream(name: &str) -> String {
    format!("{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n", head(name))
}

/// Returns the start of a valid answer's head: status, request id and seal.
pub fn head(name: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nrequest-name: {name}\r\nseal: of-{name}\r\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Returns events with these ids in one chunk.
pub fn events(ids: impl IntoIterator<Item = u64>) -> String {
    chunk(&ids.into_iter().map(event).collect::<String>())
}

/// The last chunk of a body.
pub const END: &str = "0\r\n\r\n";
