//! The calls that hosts make to each other.

use std::future::Future;

use jsonrpsee::{proc_macros::rpc, types::ErrorObjectOwned};
use policy::member::{
    gossip::Probe,
    heartbeat::{Heartbeat, Topic},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use types::host::{Host, List};

/// What a host holds on a topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Content {
    /// Its number.
    pub number: u64,
    /// The content, for the topic's own reader.
    pub value: Box<RawValue>,
}

/// What a host that was asked to try another found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It answered.
    Reached,
    /// It did not answer.
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

/// Why a host does not answer a call as asked.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Failure {
    /// It holds nothing newer.
    #[error("nothing newer is held here")]
    NothingNewer,
    /// It does not hold this part.
    #[error("the part is not held here")]
    NoPart,
    /// What it holds can't be written as JSON.
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

/// What a host answers to others.
pub trait Api: Send + Sync + 'static {
    /// Takes a heartbeat, answers with one.
    fn heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = Heartbeat> + Send;

    /// Tries another host.
    fn probe(&self, target: Host) -> impl Future<Output = Outcome> + Send;

    /// Whether it is there; nothing more.
    fn ping(&self) -> impl Future<Output = ()> + Send;

    /// The hosts and backend servers that it knows, itself among them.
    fn members(&self) -> impl Future<Output = List> + Send;

    /// What it holds on a topic, if newer than `above`.
    fn fetch(
        &self,
        topic: Topic,
        above: u64,
    ) -> impl Future<Output = Result<Content, Failure>> + Send;

    /// A part of the configuration, by its key.
    fn part(&self, key: String) -> impl Future<Output = Result<Box<RawValue>, Failure>> + Send;
}

/// The calls as jsonrpsee carries them; names are short, since each beat carries one.
#[rpc(server, client)]
pub(crate) trait Rpc {
    /// Takes a heartbeat, answers with one.
    #[method(name = "beat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, ErrorObjectOwned>;

    /// Tries another host.
    #[method(name = "probe")]
    async fn probe(&self, target: Host) -> Result<Outcome, ErrorObjectOwned>;

    /// Whether it is there.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;

    /// The hosts and backend servers that it knows.
    #[method(name = "members")]
    async fn members(&self) -> Result<List, ErrorObjectOwned>;

    /// What it holds on a topic.
    #[method(name = "fetch")]
    async fn fetch(&self, topic: Topic, above: u64) -> Result<Content, ErrorObjectOwned>;

    /// A part of the configuration.
    #[method(name = "part")]
    async fn part(&self, key: String) -> Result<Box<RawValue>, ErrorObjectOwned>;
}

/// Passes calls on to an [`Api`].
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
