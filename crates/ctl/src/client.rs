//! HTTP client of the operators' listeners of hosts.

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

/// Timeout of one request, including the response body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to hosts, with the operators' token if there is one.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    token: Option<String>,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Address of the operators' listener that responded.
    pub address: SocketAddr,
    /// Path and query of the request.
    pub path: String,
    /// HTTP status, whether of success or not.
    pub status: StatusCode,
    /// Complete body, not yet parsed.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// The body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Response {
            address: self.address,
            path: self.path.clone(),
            cause: error.to_string(),
        })
    }

    /// Returns the response if its status is 2xx.
    ///
    /// # Errors
    ///
    /// Any other status, with the body as explanation.
    pub fn require_success(self) -> Result<Response, Error> {
        if self.status.is_success() {
            return Ok(self);
        }
        let body = String::from_utf8_lossy(&self.body).into_owned();
        Err(Error::Status { address: self.address, path: self.path, status: self.status, body })
    }
}

impl Client {
    /// Creates a client of these operators' listeners, which are tried in order.
    pub fn new(hosts: Vec<SocketAddr>, token: Option<String>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client { http: Http::builder(TokioExecutor::new()).build(connector), hosts, token }
    }

    /// Sends a GET request to the first host that responds, and parses the body.
    ///
    /// # Errors
    ///
    /// No host responds, or the first that does responds with an error status or an invalid body.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.first_response(Method::GET, path, Bytes::new()).await?.require_success()?.json()
    }

    /// Sends a POST request with a JSON body to the first host that responds.
    ///
    /// # Errors
    ///
    /// No host responds.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, Error> {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        self.first_response(Method::POST, path, body).await
    }

    /// Sends a request to one host.
    ///
    /// # Errors
    ///
    /// The host doesn't respond within 15 s or the connection fails; the text names its address.
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
