//! Execution of a request, and its answer with the faults of the script.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use platform::remote::server as remote;
use serde_json::json;
use tokio::time::sleep;

use super::{
    CutBody, Ending, Fault, Shared,
    serving::{After, Duplicate},
};
use crate::routed::{
    lock,
    stream::Event,
    wire::{self, Connection, Framing},
};

/// Bytes that aren't an HTTP answer; they begin like a TLS record.
const NOT_HTTP: &[u8] = b"\x16\x03\x01 no answer at all\r\n\r\n";

/// The chunk that ends a body in chunked transfer encoding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A started run that is to be answered.
pub(super) struct Work<'a> {
    pub(super) shared: &'a Arc<Shared>,
    /// Index of the run's record in the server's runs.
    pub(super) run: usize,
    pub(super) id: Arc<str>,
    pub(super) fault: Option<Fault>,
    pub(super) connection: &'a mut Connection,
}

impl Work<'_> {
    pub(super) async fn answer(mut self, duplicate: &mut Duplicate) -> (Ending, After) {
        let work_time = lock(&self.shared.script).work_time;
        let is_poison = self.is_poison();
        tokio::select! {
            () = sleep(work_time) => {}
            () = self.connection.closed() => return (Ending::CallerClosed, After::Close),
        }
        let is_model_server = self.shared.inventory().is_model_server();
        if let Some(Fault::Endless { part, pause }) = self.fault {
            let mut head = self.head();
            if is_model_server {
                remote::event_stream(head.headers_mut());
                remote::version(head.headers_mut(), 1);
            }
            let _ = part.send(self.connection, &head, pause).await;
            return (Ending::CallerClosed, After::Close);
        }
        if let Some(Fault::Cut { bytes, body, is_reset }) = self.fault {
            let answer = self.whole_answer(body, is_model_server);
            let sent = &answer[..bytes.min(answer.len())];
            let _ = self.connection.write_raw(sent).await;
            let ending =
                if sent.len() == answer.len() { Ending::Answered } else { Ending::Corrupted };
            return (ending, if is_reset { After::Reset } else { After::Close });
        }
        if is_poison {
            if is_model_server {
                // The caller gets the head of an answer before the crash.
                let _ = self.connection.write_raw(&self.stream_head()).await;
            }
            self.shared.crash();
            return (Ending::Crashed, After::Reset);
        }
        let outcome =
            if is_model_server { self.stream().await } else { self.plain(duplicate).await };
        outcome.unwrap_or((Ending::CallerClosed, After::Close))
    }

    /// The bytes of an answer, of which a part is to be sent.
    fn whole_answer(&self, body: CutBody, is_stream: bool) -> Vec<u8> {
        let mut response = self.head().map(|_| self.body());
        if is_stream {
            remote::event_stream(response.headers_mut());
            remote::version(response.headers_mut(), 1);
            let event = Event {
                number: 1,
                software: self.shared.settings.software.clone(),
                run: self.shared.registration.borrow().id.clone(),
            };
            *response.body_mut() = remote::event(1, &event.data());
        }
        match body {
            CutBody::Length => wire::encode(&response),
            CutBody::End => {
                [&*wire::encode_head(&response, Framing::End), &**response.body()].concat()
            }
            CutBody::Chunks => {
                let (first, rest) = response.body().split_at(response.body().len() / 2);
                let head = wire::encode_head(&response, Framing::Chunks);
                let chunks = [wire::encode_chunk(first), wire::encode_chunk(rest)];
                [head, chunks.concat(), b"0\r\nx-trailer: 1\r\n\r\n".into()].concat()
            }
        }
    }

    /// Whether the script has the request crash the server.
    fn is_poison(&self) -> bool {
        let script = lock(&self.shared.script);
        let runs = lock(&self.shared.runs);
        let run = &runs[self.run];
        let body = String::from_utf8_lossy(&run.body);
        let shared_parts = run.request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        script.poison.is_some_and(|poison| body.contains(poison) || run.path.contains(poison))
            || script
                .poison_part
                .is_some_and(|poison| shared_parts.iter().any(|part| part.id == poison))
    }

    /// The head of the answer, changed as the fault requires.
    fn head(&self) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        if let Some(Fault::Failed(status)) = self.fault {
            *response.status_mut() = status;
        }
        let headers = response.headers_mut();
        match self.fault {
            Some(Fault::OtherId) => remote::echo(headers, "another-request"),
            _ => remote::echo(headers, &self.id),
        }
        if self.fault != Some(Fault::Unsealed) {
            remote::seal(headers, &format!("{}.{}", self.shared.settings.id, self.id));
        }
        if self.fault == Some(Fault::Encoded) {
            headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        }
        if self.fault == Some(Fault::Closing) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(idle) = self.shared.settings.idle {
            remote::keep_alive(headers, idle);
        }
        remote::load(headers, self.shared.load());
        if !self.is_head_withheld() {
            self.shared.add_limits(headers);
        }
        response
    }

    /// Whether no byte of the answer's head is sent, so that it can't state a limit.
    fn is_head_withheld(&self) -> bool {
        match self.fault {
            Some(Fault::Lost | Fault::Silent | Fault::Garbled | Fault::Cut { .. }) => true,
            Some(Fault::Endless { part, .. }) => part.is_before_head_end(),
            _ => false,
        }
    }

    fn body(&self) -> Bytes {
        let runs = lock(&self.shared.runs);
        let run = &runs[self.run];
        let description = json!({
            "server": self.shared.settings.id, "request": self.id, "path": run.path,
            "method": run.method.as_str(), "bytes": run.body.len(),
        });
        Bytes::from(description.to_string())
    }

    async fn plain(&mut self, duplicate: &mut Duplicate) -> io::Result<(Ending, After)> {
        let response = self.head().map(|_| self.body());
        let bytes = wire::encode(&response);
        let half = response.body().len() / 2;
        let corrupted = |after| Ok((Ending::Corrupted, after));
        match self.fault {
            Some(Fault::Lost) => return corrupted(After::Close),
            Some(Fault::Silent) => {
                self.connection.closed().await;
                return Ok((Ending::CallerClosed, After::Close));
            }
            Some(Fault::Truncated) => {
                self.connection.write_raw(&bytes[..bytes.len() - half]).await?;
                return corrupted(After::Close);
            }
            Some(Fault::Garbled) => {
                self.connection.write_raw(NOT_HTTP).await?;
                return corrupted(After::Close);
            }
            Some(fault @ (Fault::Unframed | Fault::UnframedReset)) => {
                self.connection.write_raw(&wire::encode_head(&response, Framing::End)).await?;
                let (first, rest) = response.body().split_at(half);
                self.connection.write_raw(first).await?;
                if fault == Fault::UnframedReset {
                    return corrupted(After::Reset);
                }
                self.connection.write_raw(rest).await?;
                return Ok((Ending::Answered, After::Close));
            }
            _ => self.connection.write_raw(&bytes).await?,
        }
        let extra = || {
            let mut extra = response.clone();
            remote::echo(extra.headers_mut(), "late-answer");
            wire::encode(&extra)
        };
        match self.fault {
            Some(Fault::Doubled) => self.connection.write_raw(&extra()).await?,
            Some(Fault::DoubledLate) => *duplicate = Some(extra()),
            Some(Fault::Closing) => return Ok((Ending::Answered, After::Close)),
            _ => {}
        }
        Ok((Ending::Answered, After::Keep))
    }

    async fn stream(&mut self) -> io::Result<(Ending, After)> {
        match self.fault {
            Some(Fault::Lost) => return Ok((Ending::Corrupted, After::Close)),
            Some(Fault::Silent) => {
                self.connection.closed().await;
                return Ok((Ending::CallerClosed, After::Close));
            }
            Some(Fault::Garbled) => {
                self.connection.write_raw(NOT_HTTP).await?;
                return Ok((Ending::Corrupted, After::Close));
            }
            Some(Fault::Failed(_)) => {
                let failed = self.head().map(|_| self.body());
                self.connection.write(&failed).await?;
                return Ok((Ending::Answered, After::Keep));
            }
            _ => {}
        }
        let framing = if self.is_unframed() { Framing::End } else { Framing::Chunks };
        self.connection.write_raw(&self.stream_head()).await?;
        self.events(framing).await
    }

    /// The bytes of the head of a stream.
    fn stream_head(&self) -> Vec<u8> {
        let mut head = self.head();
        remote::event_stream(head.headers_mut());
        remote::version(head.headers_mut(), 1);
        wire::encode_head(&head, if self.is_unframed() { Framing::End } else { Framing::Chunks })
    }

    /// Whether streams end with their connections.
    fn is_unframed(&self) -> bool {
        lock(&self.shared.script).is_unframed
    }

    /// Writes a part of a stream.
    async fn write_part(&mut self, part: &[u8], framing: Framing) -> io::Result<()> {
        match framing {
            Framing::Chunks => self.connection.write_chunk(part).await,
            Framing::Length(_) | Framing::End | Framing::Given => {
                self.connection.write_raw(part).await
            }
        }
    }

    async fn events(&mut self, framing: Framing) -> io::Result<(Ending, After)> {
        let (events, interval) = {
            let script = lock(&self.shared.script);
            (script.events, script.event_interval)
        };
        let resume = lock(&self.shared.runs)[self.run].request.resume.unwrap_or_default();
        let writer = Event {
            number: resume,
            software: self.shared.settings.software.clone(),
            run: self.shared.registration.borrow().id.clone(),
        };
        for number in resume + 1..=events {
            let event = Event { number, ..writer.clone() };
            let event = remote::event(number, &event.data());
            let sent = number - 1 - resume;
            match self.fault {
                Some(Fault::Broken { events }) if events == sent => {
                    self.write_part(&event[..event.len() / 2], framing).await?;
                    return Ok((Ending::Corrupted, After::Close));
                }
                Some(Fault::Stalled { events }) if events == sent => {
                    self.connection.closed().await;
                    return Ok((Ending::CallerClosed, After::Close));
                }
                Some(Fault::Short { events }) if events == sent => break,
                _ => self.write_part(&event, framing).await?,
            }
            tokio::select! {
                () = pause(interval) => {}
                () = self.connection.closed() => return Ok((Ending::CallerClosed, After::Close)),
            }
        }
        if framing == Framing::End {
            return Ok((Ending::Answered, After::Close));
        }
        self.connection.write_raw(LAST_CHUNK).await?;
        let after = if self.fault == Some(Fault::Closing) { After::Close } else { After::Keep };
        Ok((Ending::Answered, after))
    }
}

/// Waits for an interval. A zero interval takes no time, while a timer has a resolution of 1 ms.
async fn pause(interval: Duration) {
    if !interval.is_zero() {
        sleep(interval).await;
    }
}
