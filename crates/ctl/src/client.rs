//! Calls to hosts' listeners for operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::Error;

/// Longest wait for one answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls hosts, and shows them the token.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    token: Option<String>,
}

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Who gave it.
    pub address: SocketAddr,
    /// What was asked for.
    pub path: String,
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// Reads the body, whatever the status.
    ///
    /// # Errors
    ///
    /// The body has another shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Response {
            address: self.address,
            path: self.path.clone(),
            cause: error.to_string(),
        })
    }

    /// The answer, if its status is a success.
    ///
    /// # Errors
    ///
    /// Another status.
    pub fn success(self) -> Result<Response, Error> {
        if self.status.is_success() {
            return Ok(self);
        }
        let body = String::from_utf8_lossy(&self.body).into_owned();
        Err(Error::Status { address: self.address, path: self.path, status: self.status, body })
    }
}

impl Client {
    /// A client of these hosts, tried in order.
    pub fn new(hosts: Vec<SocketAddr>, token: Option<String>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client { http: Http::builder(TokioExecutor::new()).build(connector), hosts, token }
    }

    /// Reads from the first host that answers.
    ///
    /// # Errors
    ///
    /// No host answers, or the one that does refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.first_response(Method::GET, path, Bytes::new()).await?.success()?.json()
    }

    /// Sends to the first host that answers.
    ///
    /// # Errors
    ///
    /// No host answers.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, Error> {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        self.first_response(Method::POST, path, body).await
    }

    /// Calls one host.
    ///
    /// # Errors
    ///
    /// It doesn't answer; said in words that name it.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, String> {
        let exchange = self.exchange(address, method, path, body);
        match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(|cause| format!("{address}: {cause}")),
            Err(_) => Err(format!("{address}: no answer within {RESPONSE_TIMEOUT:?}")),
        }
    }

    async fn first_response(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, Error> {
        let mut causes = Vec::new();
        for address in &self.hosts {
            match self.call(*address, method.clone(), path, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(cause) => causes.push(cause),
            }
        }
        Err(Error::NoHost(causes))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
        let response = self.http.request(request).await.map_err(|e| types::error::chain(&e))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| types::error::chain(&e))?.to_bytes();
        Ok(Response { address, path: path.into(), status: parts.status, body })
    }
}
