//! HTTP client of the platform.
//!
//! Every call has a timeout, since the platform may accept a connection and never answer. The
//! client never retries a call, because only its caller knows whether a repetition is safe.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client as Http, rt::TokioExecutor};
use meter::{Connector, Meter};
use serde::Deserialize;
use serde_json::value::RawValue;
use types::{error::chain, host::List};

use crate::{
    error::Error,
    store::{Change, Changes, Listing, Object, Revision, Store, Version},
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_WATCH_TIME: Duration = Duration::from_secs(20);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Builds a [`Client`].
#[derive(Clone, Debug)]
pub struct Builder {
    address: SocketAddr,
    timeout: Duration,
    watch_time: Duration,
    meter: Meter,
}

impl Builder {
    /// Starts from the platform's address, with a timeout of 2 s and a watch time of 20 s.
    pub fn new(address: SocketAddr) -> Builder {
        Builder {
            address,
            timeout: DEFAULT_TIMEOUT,
            watch_time: DEFAULT_WATCH_TIME,
            meter: Meter::default(),
        }
    }

    /// Sets the timeout of connecting and of a call. The timeout of a watch is this time plus the
    /// watch time.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = timeout;
        self
    }

    /// Sets how long the platform waits for a change before it answers a watch without one.
    pub fn watch_time(mut self, watch_time: Duration) -> Builder {
        self.watch_time = watch_time;
        self
    }

    /// Counts the bytes of the client's connections on `meter`.
    pub fn meter(mut self, meter: Meter) -> Builder {
        self.meter = meter;
        self
    }

    /// Creates the client, which connects on first use.
    pub fn build(self) -> Client {
        let connector = Connector::new(self.meter, self.timeout);
        Client {
            http: Http::builder(TokioExecutor::new()).build(connector),
            address: self.address,
            timeout: self.timeout,
            watch_time: self.watch_time,
            calls: AtomicU64::new(0),
        }
    }
}

/// HTTP client of the platform.
#[derive(Debug)]
pub struct Client {
    http: Http<Connector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    watch_time: Duration,
    calls: AtomicU64,
}

/// A response whose body was read completely.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

#[derive(Deserialize)]
struct WireObject {
    key: String,
    version: Version,
    value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct WireListing {
    revision: Revision,
    objects: Vec<WireObject>,
}

#[derive(Deserialize)]
struct WireChanges {
    revision: Revision,
    events: Vec<WireObject>,
}

impl Client {
    /// Returns the number of calls made, failed ones included. The platform's rate limits apply to
    /// all of them.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        condition: Condition,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        match condition {
            Condition::None => {}
            Condition::Absent => request = request.header(header::IF_NONE_MATCH, "*"),
            Condition::Version(version) => {
                request = request.header(header::IF_MATCH, format!("\"{version}\""));
            }
        }
        let request = request.body(Full::new(body)).map_err(|e| self.malformed(e))?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err(self.unanswered(format!("timed out after {timeout:?}"))))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let response = self.http.request(request).await.map_err(|e| match e.is_connect() {
            true => self.unavailable(chain(&e)),
            false => self.unanswered(chain(&e)),
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| self.unanswered(chain(&e)))?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    async fn write(
        &self,
        method: Method,
        key: &str,
        condition: Condition,
        value: Bytes,
    ) -> Result<Answer, Error> {
        let size = value.len();
        let path = format!("/objects/{key}");
        let answer = self.call(method, &path, condition, value, self.timeout).await?;
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict { key: key.into() }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge { key: key.into(), size }),
            _ => self.require_success(answer),
        }
    }

    fn require_success(&self, answer: Answer) -> Result<Answer, Error> {
        match answer.status {
            StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::Limited { retry_after: retry_after(&answer) })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(self.unavailable("503".into())),
            status if status.is_success() => Ok(answer),
            status => Err(self.malformed(format!("unexpected status {status}"))),
        }
    }

    fn version(&self, answer: &Answer) -> Result<Version, Error> {
        answer
            .headers
            .get(header::ETAG)
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .ok_or_else(|| self.malformed("ETag is missing or is not a version"))
    }

    fn parse<'a, T: Deserialize<'a>>(&self, answer: &'a Answer) -> Result<T, Error> {
        serde_json::from_slice(&answer.body).map_err(|e| self.malformed(e))
    }

    fn unavailable(&self, cause: String) -> Error {
        Error::Unavailable { address: self.address.to_string(), cause }
    }

    fn unanswered(&self, cause: String) -> Error {
        Error::Unanswered { address: self.address.to_string(), cause }
    }

    fn malformed(&self, cause: impl ToString) -> Error {
        Error::Malformed { address: self.address.to_string(), cause: cause.to_string() }
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, Error>> {
        Box::pin(async move {
            let path = format!("/objects/{key}");
            let answer =
                self.call(Method::GET, &path, Condition::None, Bytes::new(), self.timeout).await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let answer = self.require_success(answer)?;
            let version = self.version(&answer)?;
            Ok(Some(Object { key: key.into(), version, value: answer.body }))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, Error>> {
        Box::pin(async move {
            let path = format!("/objects?prefix={prefix}");
            let answer =
                self.call(Method::GET, &path, Condition::None, Bytes::new(), self.timeout).await?;
            let answer = self.require_success(answer)?;
            let listing: WireListing = self.parse(&answer)?;
            let objects = listing.objects.into_iter().filter_map(WireObject::into_object).collect();
            Ok(Listing { revision: listing.revision, objects })
        })
    }

    fn create<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<Version, Error>> {
        Box::pin(async move {
            let answer = self.write(Method::PUT, key, Condition::Absent, value).await?;
            self.version(&answer)
        })
    }

    fn update<'a>(
        &'a self,
        key: &'a str,
        version: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, Error>> {
        Box::pin(async move {
            let answer = self.write(Method::PUT, key, Condition::Version(version), value).await?;
            self.version(&answer)
        })
    }

    fn delete<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            self.write(Method::DELETE, key, Condition::Version(version), Bytes::new())
                .await
                .map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        Box::pin(async move {
            let wait = self.watch_time.as_millis();
            let path = format!("/watch?prefix={prefix}&from={from}&timeout_ms={wait}");
            let timeout = self.timeout + self.watch_time;
            let answer =
                self.call(Method::GET, &path, Condition::None, Bytes::new(), timeout).await?;
            if answer.status == StatusCode::GONE {
                return Err(Error::Compacted { from });
            }
            let answer = self.require_success(answer)?;
            let changes: WireChanges = self.parse(&answer)?;
            let revision = changes.revision;
            let changes = changes.events.into_iter().map(WireObject::into_change).collect();
            Ok(Changes { revision, changes })
        })
    }

    fn hosts(&self) -> BoxFuture<'_, Result<List, Error>> {
        Box::pin(async move {
            let answer = self
                .call(Method::GET, "/hosts", Condition::None, Bytes::new(), self.timeout)
                .await?;
            let answer = self.require_success(answer)?;
            self.parse(&answer)
        })
    }
}

impl WireObject {
    fn into_object(self) -> Option<Object> {
        let value = Bytes::from(self.value?.get().to_owned());
        Some(Object { key: self.key, version: self.version, value })
    }

    fn into_change(self) -> Change {
        let key = self.key.clone();
        self.into_object().map_or(Change::Delete { key }, Change::Put)
    }
}

/// Precondition of a call.
#[derive(Clone, Copy)]
enum Condition {
    None,
    Absent,
    Version(Version),
}

fn retry_after(answer: &Answer) -> Duration {
    answer
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
