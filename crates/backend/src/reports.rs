//! Load reports, polled repeatedly from one server.
//!
//! Most of a report is the list of residents, which seldom changes. The reader sends the tag of the
//! list that it has cached, and a server whose list has the same tag omits it. A server that does
//! not support tags sends the complete report each time, which only costs more bytes.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue, Request};
use types::{report::Load, resident::Resident};

use crate::{
    client::{Client, empty_body, malformed, read, require_success},
    error::Error,
    wire,
};

/// Reader of one server's load reports.
#[derive(Clone, Debug)]
pub struct Reader {
    address: SocketAddr,
    cached: Option<CachedResidents>,
}

#[derive(Clone, Debug)]
struct CachedResidents {
    tag: HeaderValue,
    residents: Vec<Resident>,
}

impl Reader {
    /// Creates a reader without cached residents.
    pub fn new(address: SocketAddr) -> Reader {
        Reader { address, cached: None }
    }

    /// Fetches a report, with the cached residents if the server omits them.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and for a response that is not a report.
    pub async fn read(&mut self, client: &Client) -> Result<Load, Error> {
        let response = client.send(self.address, self.request()?).await?;
        let headers = response.headers().clone();
        let (status, body) = read(self.address, response).await?;
        let body = require_success(self.address, status, body)?;
        let load: Load = serde_json::from_slice(&body).map_err(|e| malformed(self.address, &e))?;
        Ok(self.complete(&headers, load))
    }

    fn request(&self) -> Result<Request<crate::Body>, Error> {
        let mut request = Request::get("/load");
        if let Some(cached) = &self.cached {
            request = request.header(wire::KNOWN_RESIDENTS, &cached.tag);
        }
        request.body(empty_body()).map_err(|e| malformed(self.address, &e))
    }

    /// Adds the cached residents to a report that omits them; otherwise updates the cache.
    fn complete(&mut self, headers: &HeaderMap, mut load: Load) -> Load {
        let tag = headers.get(wire::RESIDENTS);
        match (tag, &self.cached) {
            (Some(tag), Some(cached)) if *tag == cached.tag => {
                load.residents.clone_from(&cached.residents);
            }
            (Some(tag), _) => {
                self.cached =
                    Some(CachedResidents { tag: tag.clone(), residents: load.residents.clone() });
            }
            (None, _) => self.cached = None,
        }
        load
    }
}
