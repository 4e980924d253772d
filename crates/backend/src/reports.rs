//! Load reports, read again and again from one server.
//!
//! Most of a report is the list of residents, which seldom changes. The reader names the list that
//! it knows by its tag, and a server that holds the same one leaves it out. A server that knows
//! nothing of tags sends the whole report each time, which is as right and costs more bytes.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue, Request};
use types::{report::Load, resident::Resident};

use crate::{
    client::{Client, empty, malformed, read, require_success},
    error::Error,
    wire,
};

/// Reads one server's reports.
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
    /// A reader that knows nothing yet.
    pub fn new(address: SocketAddr) -> Reader {
        Reader { address, cached: None }
    }

    /// Asks for a report.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and for an answer that is no report.
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
        request.body(empty()).map_err(|e| malformed(self.address, &e))
    }

    /// Puts the known residents into a report that left them out, or learns new ones.
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
