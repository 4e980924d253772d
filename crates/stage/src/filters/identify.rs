//! Identifies the service and model of a caller's request, and validates it.
//!
//! A call to models may name its service in the `Service` header. Without it the call belongs to
//! the least urgent service that offers the model, so that omitting the name doesn't raise its
//! priority.

use ::backend::wire;
use axum::{
    Json,
    body::{Body, to_bytes},
    extract::{Extension, Request, State},
    http::{HeaderMap, Method},
    middleware::Next,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use types::{
    config::{Config, NumberedConfig},
    prelude::*,
    request::{Digest, Repeat},
    service::{Offer, Service},
};

use crate::{
    context::Context,
    filters::{Call, Delivery, Kind, ModelRequest, Shape, account::Account},
    idle,
    problem::{self, Problem},
};

/// Header that names the service of a call to models.
pub const SERVICE: &str = "service";

/// Header that identifies a request across repeated sends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header by which a caller shortens the time allowed for a request, in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";

/// Header by which a caller states whether a request may run more than once.
pub const IDEMPOTENT: &str = "x-idempotent";

const DEFAULT_MAX_TOKENS: u32 = 16;

/// Identifies a call to a model.
pub async fn model(
    State(context): State<Arc<Context>>,
    Extension(numbered): Extension<Arc<NumberedConfig>>,
    request: Request,
    next: Next,
) -> Response {
    match identify_model(&context, numbered, request).await {
        Ok(request) => next.run(request).await,
        Err(problem) => problem.into_response(),
    }
}

/// Identifies a call to a plain service.
pub async fn plain(
    State(context): State<Arc<Context>>,
    Extension(numbered): Extension<Arc<NumberedConfig>>,
    request: Request,
    next: Next,
) -> Response {
    match identify_plain(&context, numbered, request) {
        Ok(request) => next.run(request).await,
        Err(problem) => problem.into_response(),
    }
}

/// Lists the models and adapters that callers may name.
pub async fn models(State(context): State<Arc<Context>>) -> Response {
    let numbered = context.config();
    let data: Vec<Value> = numbered
        .config
        .models
        .iter()
        .flat_map(|(name, model)| {
            let adapters = model.adapters.keys().map(move |adapter| format!("{name}:{adapter}"));
            std::iter::once(name.to_string()).chain(adapters)
        })
        .map(|id| json!({"id": id, "object": "model", "owned_by": "cyclamenstage"}))
        .collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn identify_model(
    context: &Context,
    numbered: Arc<NumberedConfig>,
    request: Request,
) -> Result<Request, Problem> {
    let (parts, body) = request.into_parts();
    let shape = match parts.uri.path() {
        "/v1/chat/completions" => Shape::Chat,
        _ => Shape::Text,
    };
    let body = read(context, body).await?;
    let mut fields = parse(&body)?;
    let name = named_model(&numbered.config, &fields)?;
    let (service_id, service) = offering(&numbered.config, &parts.headers, &name)?;
    let prompt = prompt(shape, &fields)?;
    let delivery = match fields.get("stream") {
        None | Some(Value::Bool(false) | Value::Null) => Delivery::Buffered,
        Some(Value::Bool(true)) => Delivery::Streamed,
        Some(_) => return Err(bad("`stream` must be true or false")),
    };
    let max_tokens = max_tokens(&fields)?;
    fields.insert("stream".into(), true.into());
    fields.insert("max_tokens".into(), max_tokens.into());
    let prefix = wire::blocks(&name.to_string(), &prompt);
    let request = request::Request {
        model: Some(name),
        prefix,
        prompt_tokens: u32::try_from(prompt.len() / wire::TOKEN_BYTES).unwrap_or(u32::MAX),
        max_tokens,
        ..base(context, service_id, service, &parts.headers, &parts.method, digest(&body))?
    };
    let engine_body = Value::Object(fields).to_string();
    let model_request = ModelRequest { shape, delivery, body: Bytes::from(engine_body) };
    let kind = Kind::Model(Arc::new(model_request));
    Ok(with_call(context, numbered, parts, Body::empty(), request, kind))
}

fn identify_plain(
    context: &Context,
    numbered: Arc<NumberedConfig>,
    request: Request,
) -> Result<Request, Problem> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, rest) = rest.split_at(end);
    let unknown = |detail: String| Problem::new(problem::Kind::UnknownService, detail);
    let found = numbered.config.services.get_key_value(name);
    let (id, service) = found.ok_or_else(|| unknown(format!("no service is named {name}")))?;
    let Offer::Plain(group) = &service.offer else {
        return Err(unknown(format!("service {name} offers models; call /v1 paths")));
    };
    let path = if rest.starts_with('/') { rest.into() } else { format!("/{rest}").into() };
    let kind = Kind::Plain { group: group.clone(), path };
    let url_digest = digest(parts.uri.to_string().as_bytes());
    let request = base(context, id, service, &parts.headers, &parts.method, url_digest)?;
    Ok(with_call(context, numbered.clone(), parts, body, request, kind))
}

fn with_call(
    context: &Context,
    numbered: Arc<NumberedConfig>,
    parts: axum::http::request::Parts,
    body: Body,
    request: request::Request,
    kind: Kind,
) -> Request {
    let call = Call { request: Arc::new(request), numbered, received: context.now(), kind };
    if let Some(account) = parts.extensions.get::<Account>() {
        account.identified(&call.request);
    }
    let mut request = Request::from_parts(parts, body);
    request.extensions_mut().insert(call);
    request
}

fn base(
    context: &Context,
    id: &service::Id,
    service: &Service,
    headers: &HeaderMap,
    method: &Method,
    digest: Digest,
) -> Result<request::Request, Problem> {
    let key = header(headers, IDEMPOTENCY_KEY)?;
    let repeat = repeat(headers, service, method)?;
    let deadline = deadline(headers)?.unwrap_or(Duration::MAX).min(context.settings.bounds.request);
    let first_token = service.target.first_token.min(deadline);
    Ok(request::Request {
        id: uuid::Uuid::new_v4().to_string().into(),
        service: id.clone(),
        model: None,
        priority: service.priority,
        target: Target { first_token, ..service.target },
        repeat,
        key: key.map(Into::into),
        digest,
        prefix: Vec::new(),
        prompt_tokens: 0,
        max_tokens: 0,
        deadline,
    })
}

/// Callers may mark a request as non-idempotent, but can't clear the service's mark.
fn repeat(headers: &HeaderMap, service: &Service, method: &Method) -> Result<Repeat, Problem> {
    let is_declared = service.is_non_idempotent(method.as_str());
    match (header(headers, IDEMPOTENT)?.as_deref(), is_declared) {
        (None, true) | (Some("false"), _) => Ok(Repeat::Once),
        (None | Some("true"), false) => Ok(Repeat::Idempotent),
        (Some("true"), true) => Err(bad(&format!(
            "header {IDEMPOTENT} says true, but the service declares {method} non-idempotent"
        ))),
        (Some(_), _) => Err(bad(&format!("header {IDEMPOTENT} must be true or false"))),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(text) = header(headers, TIMEOUT)? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(millis) if 0 < millis => Ok(Some(Duration::from_millis(millis))),
        _ => Err(bad(&format!("header {TIMEOUT} must be a positive whole number"))),
    }
}

async fn read(context: &Context, body: Body) -> Result<Bytes, Problem> {
    let limit = context.settings.bounds.body_bytes;
    let body = Body::new(idle::TimeoutBody::new(body, context.settings.bounds.idle));
    to_bytes(body, limit).await.map_err(|error| {
        if types::error::chain(&error).contains("length limit") {
            let detail = format!("the body exceeds {limit} bytes");
            return Problem::new(problem::Kind::BodyTooLarge, detail);
        }
        bad(&format!("the request body ended early: {}", types::error::chain(&error)))
    })
}

fn parse(body: &Bytes) -> Result<Map<String, Value>, Problem> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(bad("the body must be a JSON object")),
        Err(error) => Err(bad(&format!("the body is not valid JSON: {error}"))),
    }
}

fn named_model(config: &Config, fields: &Map<String, Value>) -> Result<model::Name, Problem> {
    let Some(Value::String(text)) = fields.get("model") else {
        return Err(bad("`model` must be a string"));
    };
    let name = model::Name::parse(text);
    let declared = config.models.get(&name.model);
    let is_known = declared.is_some_and(|model| match &name.adapter {
        Some(adapter) => model.adapters.contains_key(adapter),
        None => true,
    });
    match is_known {
        true => Ok(name),
        false => {
            let detail = format!("no model or adapter is named {name}");
            Err(Problem::new(problem::Kind::UnknownModel, detail))
        }
    }
}

fn offering<'a>(
    config: &'a Config,
    headers: &HeaderMap,
    name: &model::Name,
) -> Result<(&'a service::Id, &'a Service), Problem> {
    let offers = |service: &Service| matches!(&service.offer, Offer::Models(models) if models.contains(&name.model));
    let unknown = |detail| Problem::new(problem::Kind::UnknownService, detail);
    match header(headers, SERVICE)? {
        Some(wanted) => config
            .services
            .get_key_value(wanted.as_str())
            .filter(|(_, service)| offers(service))
            .ok_or_else(|| unknown(format!("no service {wanted} offers {name}"))),
        None => config
            .services
            .iter()
            .filter(|(_, service)| offers(service))
            .min_by_key(|(_, service)| service.priority)
            .ok_or_else(|| unknown(format!("no service offers {name}"))),
    }
}

fn prompt(shape: Shape, fields: &Map<String, Value>) -> Result<String, Problem> {
    match (shape, fields.get("messages"), fields.get("prompt")) {
        (Shape::Chat, Some(messages @ Value::Array(_)), _) => Ok(messages.to_string()),
        (Shape::Chat, _, _) => Err(bad("`messages` must be a list")),
        (Shape::Text, _, Some(Value::String(prompt))) => Ok(prompt.clone()),
        (Shape::Text, _, _) => Err(bad("`prompt` must be a string")),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u32, Problem> {
    let wanted = fields.get("max_completion_tokens").or(fields.get("max_tokens"));
    match wanted {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .and_then(|count| u32::try_from(count).ok())
            .filter(|count| 0 < *count)
            .ok_or_else(|| bad("`max_tokens` must be a positive whole number")),
    }
}

fn header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad(&format!("header {name} is given more than once")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_owned())),
        Err(_) => Err(bad(&format!("header {name} has characters other than visible ASCII"))),
    }
}

fn digest(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

fn bad(detail: &str) -> Problem {
    Problem::new(problem::Kind::BadRequest, detail)
}
