//! The calls between hosts.

use std::future::Future;

use jsonrpsee::{proc_macros::rpc, types::ErrorObjectOwned};
use policy::member::{
    gossip::Probe,
    heartbeat::{Heartbeat, Topic},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use types::host::{Host, List};

/// Content of a topic, as one host has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Content {
    /// Number of the content; newer content of the topic has a higher number.
    pub number: u64,
    /// The content as JSON, which only the consumer of the topic parses.
    pub value: Box<RawValue>,
}

/// Result of an indirect probe, which one host makes for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target answered.
    Reached,
    /// The target did not answer.
    Silent,
}

impl From<Outcome> for Probe {
    fn from(outcome: Outcome) -> Probe {
        match outcome {
            Outcome::Reached => Probe::Reached,
            Outcome::Silent => Probe::Silent,
        }
    }
}

/// Error that a host returns for a call.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Failure {
    /// The host has no newer content of the topic.
    #[error("nothing newer is held here")]
    NothingNewer,
    /// The host does not have this part of the configuration.
    #[error("the part is not held here")]
    NoPart,
    /// The content can't be serialized as JSON.
    #[error("content can't be written: {0}")]
    Unwritable(String),
}

impl From<Failure> for ErrorObjectOwned {
    fn from(failure: Failure) -> ErrorObjectOwned {
        const NOTHING_NEWER: i32 = 1;
        const UNWRITABLE: i32 = 2;
        const NO_PART: i32 = 3;
        let code = match failure {
            Failure::NothingNewer => NOTHING_NEWER,
            Failure::NoPart => NO_PART,
            Failure::Unwritable(_) => UNWRITABLE,
        };
        ErrorObjectOwned::owned(code, failure.to_string(), None::<()>)
    }
}

/// Handlers of the calls that other hosts make.
pub trait Api: Send + Sync + 'static {
    /// Receives a heartbeat and answers with this host's own.
    fn heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = Heartbeat> + Send;

    /// Probes another host for the caller.
    fn probe(&self, target: Host) -> impl Future<Output = Outcome> + Send;

    /// Returns immediately; a response shows that the host is reachable.
    fn ping(&self) -> impl Future<Output = ()> + Send;

    /// Returns the hosts and backend servers that this host knows, itself included.
    fn members(&self) -> impl Future<Output = List> + Send;

    /// Returns the content of a topic if its number is above `above`.
    fn fetch(
        &self,
        topic: Topic,
        above: u64,
    ) -> impl Future<Output = Result<Content, Failure>> + Send;

    /// Returns a part of the configuration by its key.
    fn part(&self, key: String) -> impl Future<Output = Result<Box<RawValue>, Failure>> + Send;
}

/// The calls of [`Api`] as JSON-RPC methods. Their names are short, since every heartbeat contains
/// one.
#[rpc(server, client)]
pub(crate) trait Rpc {
    #[method(name = "beat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, ErrorObjectOwned>;

    #[method(name = "probe")]
    async fn probe(&self, target: Host) -> Result<Outcome, ErrorObjectOwned>;

    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;

    #[method(name = "members")]
    async fn members(&self) -> Result<List, ErrorObjectOwned>;

    #[method(name = "fetch")]
    async fn fetch(&self, topic: Topic, above: u64) -> Result<Content, ErrorObjectOwned>;

    #[method(name = "part")]
    async fn part(&self, key: String) -> Result<Box<RawValue>, ErrorObjectOwned>;
}

/// Forwards JSON-RPC calls to an [`Api`].
pub(crate) struct Adapter<A>(pub(crate) A);

#[jsonrpsee::core::async_trait]
impl<A: Api> RpcServer for Adapter<A> {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, ErrorObjectOwned> {
        Ok(self.0.heartbeat(heartbeat).await)
    }

    async fn probe(&self, target: Host) -> Result<Outcome, ErrorObjectOwned> {
        Ok(self.0.probe(target).await)
    }

    async fn ping(&self) -> Result<(), ErrorObjectOwned> {
        self.0.ping().await;
        Ok(())
    }

    async fn members(&self) -> Result<List, ErrorObjectOwned> {
        Ok(self.0.members().await)
    }

    async fn fetch(&self, topic: Topic, above: u64) -> Result<Content, ErrorObjectOwned> {
        Ok(self.0.fetch(topic, above).await?)
    }

    async fn part(&self, key: String) -> Result<Box<RawValue>, ErrorObjectOwned> {
        Ok(self.0.part(key).await?)
    }
}
