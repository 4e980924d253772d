//! The API that this host serves to other hosts.

use std::sync::Arc;

use ::peer::{Api, Content, Failure, ListenerSettings, Outcome};
use policy::{
    config::part,
    member::heartbeat::{Heartbeat, Topic},
};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use types::host::{Host, List};

use super::{apply_in_flight, observe_stamp, perform, set_stamp};
use crate::context::Context;

/// Serves other hosts until stopped.
pub(crate) async fn listen(listener: TcpListener, context: Arc<Context>, stop: CancellationToken) {
    let peers = &context.peers;
    let settings = ListenerSettings {
        token: peers.token.clone(),
        meter: peers.meter.clone(),
        refused: peers.refused.clone(),
    };
    ::peer::listen(listener, settings, Answers(context.clone()), stop).await;
}

struct Answers(Arc<Context>);

impl Api for Answers {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        observe_stamp(&self.0, &heartbeat);
        apply_in_flight(&self.0, &heartbeat);
        let received = self.0.peers.gossip().receive(self.0.now(), &heartbeat);
        let (mut answer, actions) = received;
        set_stamp(&self.0, &mut answer);
        perform(&self.0, actions);
        answer
    }

    async fn probe(&self, target: Host) -> Outcome {
        match self.0.peers.client().ping(target.peers).await {
            Ok(()) => Outcome::Reached,
            Err(_) => Outcome::Silent,
        }
    }

    async fn ping(&self) {}

    async fn members(&self) -> List {
        self.0.peers.gossip().to_list(self.0.now())
    }

    async fn fetch(&self, topic: Topic, above: u64) -> Result<Content, Failure> {
        let Topic::Config = topic else { return Err(Failure::NothingNewer) };
        let root = self.0.declared.root().filter(|root| above < root.number);
        let root = root.ok_or(Failure::NothingNewer)?;
        Ok(Content { number: root.number, value: raw(&root)? })
    }

    async fn part(&self, key: String) -> Result<Box<RawValue>, Failure> {
        let name = part::Name::of_key(&key).ok_or(Failure::NoPart)?;
        let bytes = self.0.declared.part(&name).ok_or(Failure::NoPart)?;
        let text = String::from_utf8(bytes.to_vec()).map_err(to_failure)?;
        RawValue::from_string(text).map_err(to_failure)
    }
}

fn raw<T: Serialize>(value: &T) -> Result<Box<RawValue>, Failure> {
    to_raw_value(value).map_err(to_failure)
}

fn to_failure(error: impl std::fmt::Display) -> Failure {
    Failure::Unwritable(error.to_string())
}
