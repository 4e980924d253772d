//! A scripted caller: the test determines each byte sent.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};

use super::within;

/// A caller's connection.
pub struct Caller {
    stream: BufReader<TcpStream>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At the end that its framing declares.
    Complete,
    /// Before the end that its framing declares.
    Truncated,
}

/// An answer as it was received.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub end: End,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = within(TcpStream::connect(address)).await.expect("a connection");
        Caller { stream: BufReader::new(stream) }
    }

    pub async fn write(&mut self, text: &str) {
        within(self.stream.write_all(text.as_bytes())).await.expect("written");
    }

    /// Reads an answer to its end, whether complete or truncated.
    pub async fn answer(&mut self) -> Response {
        let mut got = self.head().await;
        got.end = End::Truncated;
        if got.header("transfer-encoding").is_some() {
            while let Some(piece) = self.chunk().await {
                if piece.is_empty() {
                    got.end = End::Complete;
                    break;
                }
                got.body += &piece;
            }
        } else {
            let length = got.header("content-length").and_then(|text| text.parse().ok());
            if let Some(body) = self.bytes(length.unwrap_or(0)).await {
                (got.body, got.end) = (body, End::Complete);
            }
        }
        got
    }

    /// Reads the head of an answer.
    pub async fn head(&mut self) -> Response {
        let mut head = String::new();
        while let Some(line) = self.line().await.filter(|line| !line.is_empty()) {
            head = head + &line + "\n";
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        Response { status: status.unwrap_or(0), head, body: String::new(), end: End::Complete }
    }

    /// Reads a chunk. Returns an empty text for the last one, `None` if the connection ended.
    pub async fn chunk(&mut self) -> Option<String> {
        let length = usize::from_str_radix(&self.line().await?, 16).ok()?;
        let piece = self.bytes(length).await?;
        self.line().await.filter(|line| line.is_empty()).map(|_| piece)
    }

    async fn bytes(&mut self, length: usize) -> Option<String> {
        let mut bytes = vec![0; length];
        within(self.stream.read_exact(&mut bytes)).await.ok()?;
        String::from_utf8(bytes).ok()
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(within(self.stream.read_u8()).await.ok()?);
        }
        line.truncate(line.len() - 2);
        String::from_utf8(line).ok()
    }
}
