//! A dialect whose header names belong to no platform.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request::Parts};
use relay::edge::{
    Answer, Credential, Departure, Dialect, Execution, ForwardOptions, Malformed, Object,
    ObjectKind, Order, OrderReply, OrderStatus, Problem, RequestInfo, Seal, Stated, StoreCall,
    StoreReply, Unreadable,
};
use types::routed::{Declaration, Report, Server};

use super::store::StoreObjects;

/// Dialect with neutral names that reads the store's objects from [`StoreObjects`] instead of the
/// store's responses.
pub struct NeutralDialect {
    pub objects: Arc<StoreObjects>,
    /// Called with each order, right before it is handed to its connection.
    pub on_order: fn(&Order),
    /// Called with each request to a server, right before it is handed to its connection.
    pub on_forward: fn(),
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).and_then(|text| text.parse().ok())
}

impl Dialect for NeutralDialect {
    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn request_info(&self, head: &Parts) -> Result<RequestInfo, Malformed> {
        Ok(RequestInfo {
            id: text(&head.headers, "request-name").ok_or(Malformed::NoId)?.into(),
            host: text(&head.headers, "host").ok_or(Malformed::NoHost)?.into(),
            path: head.uri.path().into(),
            credential: Credential::Missing,
            model: None,
            adapter: None,
            prompt: Vec::new(),
            tokens_in: 0,
            tokens_out: 0,
            length_hint: None,
            deadline: number(&head.headers, "time-left").map(Duration::from_millis),
            resume: number(&head.headers, "resume-after"),
            resumes: text(&head.headers, "resumes-request").map(Arc::from),
        })
    }

    fn refuse(&self, problem: Problem) -> Response<Bytes> {
        let status = match problem {
            Problem::Malformed => StatusCode::BAD_REQUEST,
            Problem::Unauthorized => StatusCode::UNAUTHORIZED,
            Problem::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Problem::NoRoute => StatusCode::NOT_FOUND,
            Problem::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Problem::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Problem::Unclear => StatusCode::BAD_GATEWAY,
            Problem::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        };
        let mut response = Response::new(Bytes::from_static(b"ours"));
        *response.status_mut() = status;
        response
    }

    fn forward_headers(&self, headers: &mut HeaderMap, options: &ForwardOptions<'_>) {
        (self.on_forward)();
        let server = HeaderValue::from_str(options.server).expect("a valid header value");
        headers.insert("run-of", server);
        let left =
            u64::try_from(options.deadline.as_millis()).expect("a deadline below u64::MAX ms");
        headers.insert("time-left", left.into());
        if let Some(event) = options.resume {
            headers.insert("resume-after", event.into());
        }
    }

    fn answer(&self, _: StatusCode, headers: &HeaderMap) -> Answer {
        let seal = headers.get("seal").map_or(Seal::Missing, |_| Seal::Present);
        Answer {
            id: text(headers, "request-name").map(Arc::from),
            seal,
            execution: headers.get("not-run").map_or(Execution::Unstated, |_| Execution::NotRun),
            load: None,
            instance: None,
            keep_alive: text(headers, "keep-alive")
                .and_then(|text| text.strip_prefix("timeout=")?.parse().ok())
                .map(Duration::from_secs),
            limit: Stated::Absent,
            tolerance: Stated::Absent,
            departure: Departure::Unstated,
            back_off: None,
        }
    }

    fn report_call(&self) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn report(&self, _: &[u8]) -> Option<Report> {
        Some(Report::default())
    }

    fn order_call(&self, order: &Order) -> Request<Bytes> {
        (self.on_order)(order);
        Request::post(format!("/order/{}", order.fence)).body(Bytes::new()).expect("a call")
    }

    fn order_reply(&self, _: &Response<Bytes>) -> OrderReply {
        OrderReply { status: OrderStatus::Unknown, started_at: 0 }
    }

    fn store_call(&self, call: &StoreCall<'_>) -> Request<Bytes> {
        let path = match call {
            StoreCall::Watch { since, wait, .. } => format!("/watch/{since}/{}", wait.as_millis()),
            StoreCall::Get { kind: ObjectKind::Lease, .. }
            | StoreCall::Create { kind: ObjectKind::Lease, .. }
            | StoreCall::Replace { kind: ObjectKind::Lease, .. } => "/lease".into(),
            _ => "/list".into(),
        };
        Request::get(path).body(Bytes::new()).expect("a call")
    }

    fn store_reply(&self, call: &StoreCall<'_>, _: &Response<Bytes>) -> StoreReply {
        match call {
            StoreCall::List { kind, .. } => {
                if *kind == ObjectKind::Host {
                    self.objects.parse(*kind);
                }
                StoreReply::Page(self.objects.page(*kind))
            }
            StoreCall::Watch { kind, since, .. } => {
                StoreReply::Seen(self.objects.changes(*kind, *since))
            }
            StoreCall::Create { kind: ObjectKind::Host, name, content } => {
                self.objects.registered.send_replace(true);
                let content = (*content).clone();
                StoreReply::Object(Object { name: (*name).into(), revision: 1, content })
            }
            StoreCall::Get { kind: ObjectKind::Lease, .. } => {
                self.objects.parse(ObjectKind::Lease);
                self.objects.lease().map_or(StoreReply::Absent, StoreReply::Object)
            }
            StoreCall::Create { kind: ObjectKind::Lease, name, content } => {
                self.objects.write_lease(None, name, content)
            }
            StoreCall::Replace { kind: ObjectKind::Lease, name, revision, content } => {
                self.objects.write_lease(Some(*revision), name, content)
            }
            StoreCall::Create { name, content, .. } | StoreCall::Replace { name, content, .. } => {
                let content = (*content).clone();
                StoreReply::Object(Object { name: (*name).into(), revision: 1, content })
            }
            StoreCall::Get { .. } | StoreCall::Delete { .. } => StoreReply::Absent,
        }
    }

    fn declaration_name(&self) -> &str {
        "declaration"
    }

    fn declaration(&self, _: &Object) -> Result<Declaration, Unreadable> {
        self.objects.parse(ObjectKind::Declaration);
        Ok(self.objects.declaration.clone())
    }

    fn server(&self, object: &Object) -> Option<Server> {
        self.objects.parse(ObjectKind::Server);
        self.objects.server(&object.name)
    }
}
