//! The versions of the server software that began streams: records for other hosts, and the version
//! at which a request that takes a stream up again may go on.

use std::{sync::Arc, time::Duration};

use exchange::fleet::{Liveness, Notice, Snapshot};
use observe::metrics::routed::Refusal;
use policy::streams::{self, Lookup, Message, Peer, SoftwareId, StreamId};
use tokio::{select, time::sleep};
use types::{prelude::*, routed::Kind};

use crate::{call::Call, edge::Problem, host::Shared};

/// Time after which a caller may retry, preferably at another host, if this one doesn't know which
/// version began the stream.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Shared {
    /// Sets the hosts that keep records of streams.
    pub(crate) fn set_stream_peers(&self, snapshot: &Snapshot) {
        let others = snapshot.hosts.iter().filter(|status| {
            status.liveness != Liveness::Silent && status.member.id != self.host.id
        });
        let peer = |status: &exchange::fleet::PeerStatus| Peer {
            id: status.member.id.clone(),
            incarnation: status.member.incarnation,
            zone: status.member.zone.clone(),
            is_live: status.liveness == Liveness::Live,
        };
        self.streams().set_peers(others.map(peer).collect(), self.now());
    }

    /// Applies another host's message about streams.
    pub(crate) fn stream_message_received(&self, from: &host::Id, message: Message) {
        self.streams().receive(from, message, self.now());
        self.send_streams();
        self.streams_received.notify_waiters();
    }

    /// Sends the messages about streams.
    pub(crate) fn send_streams(&self) {
        let messages = self.streams().outgoing();
        self.send_once(messages.into_iter().map(|(to, message)| (to, Notice::Streams(message))));
    }

    /// Looks up the version that began a stream, here and then at other hosts.
    async fn look_up_stream(&self, stream: StreamId) -> Lookup {
        loop {
            let received = self.streams_received.notified();
            let found = self.streams().look_up(stream, self.now());
            let Lookup::Pending(next) = found else { return found };
            self.send_streams();
            select! {
                () = received => {}
                () = sleep(next.saturating_sub(self.now())) => {}
            }
        }
    }

    /// Returns the text of a version, or its digest if no server of it is known.
    fn software_text(&self, service: &service::Id, software: SoftwareId) -> String {
        let directory = self.directory();
        let servers = directory.servers().filter(|server| server.service == *service);
        let mut texts = servers.map(|server| &server.software);
        let text = texts.find(|text| streams::software_id(service, text) == software);
        text.map_or_else(|| format!("{software:016x}"), |text| text.to_string())
    }
}

impl Call {
    /// Returns the version that began the stream which the request takes up again; `None` if the
    /// request begins anew.
    ///
    /// # Errors
    ///
    /// The version is not known, so the request is refused.
    pub(crate) async fn resumed_version(
        &self,
        shared: &Shared,
    ) -> Result<Option<SoftwareId>, Problem> {
        let info = &self.request.info;
        if self.route.kind != Kind::Stream || info.resume.is_none() {
            return Ok(None);
        }
        let found = match &info.resumes {
            Some(id) => shared.look_up_stream(streams::stream_id(&self.service, id)).await,
            None => Lookup::Unknown,
        };
        let cause = match found {
            Lookup::Found(software, host) => {
                let source = if host.is_some() { "host" } else { "own-record" };
                self.trace.stream_version(
                    shared.software_text(&self.service, software),
                    source,
                    host,
                );
                return Ok(Some(software));
            }
            Lookup::Ambiguous => Refusal::AmbiguousVersion,
            Lookup::Unknown | Lookup::Pending(_) => {
                if let Some(software) = self.proven_version(shared).await {
                    return Ok(Some(software));
                }
                Refusal::UnknownVersion
            }
        };
        self.trace.refused(cause, self.time_left(shared), Some(RETRY_AFTER));
        Err(Problem::NotRun(RETRY_AFTER))
    }

    /// Returns the version that began a stream without a record, if the hosts that had the record may
    /// be lost and the store's list of versions proves it, and records it.
    async fn proven_version(&self, shared: &Shared) -> Option<SoftwareId> {
        let stream = self.stream_id()?;
        if !shared.streams().may_have_lost_records(shared.now()) {
            return None;
        }
        let software = shared.sole_version(&self.service).await?;
        self.trace.stream_version(shared.software_text(&self.service, software), "store", None);
        shared.streams().announce(stream, software, shared.now());
        shared.dispatch_wakeup.notify_one();
        Some(software)
    }

    /// Returns the id under which the version of the request's stream is recorded; `None` if the
    /// stream can't be taken up again.
    fn stream_id(&self) -> Option<StreamId> {
        let info = &self.request.info;
        let id = match info.resume {
            Some(_) => info.resumes.as_ref()?,
            None => &info.id,
        };
        let is_resumable = self.route.kind == Kind::Stream && self.route.resumable;
        is_resumable.then(|| streams::stream_id(&self.service, id))
    }
}

/// The record of a stream that is being delivered.
#[derive(Debug, Default)]
pub(crate) struct StreamRecord {
    /// The stream and its version, and when the record was last sent; `None` before the first event.
    sent: Option<(StreamId, SoftwareId, Moment)>,
}

impl StreamRecord {
    /// Records the version that has sent an event of the stream, if that is the stream's first.
    pub(crate) fn begin(&mut self, call: &Call, software: SoftwareId, text: &Arc<str>) {
        let Some(stream) = call.stream_id().filter(|_| self.sent.is_none()) else { return };
        let shared = call.handle.shared();
        let now = shared.now();
        self.sent = Some((stream, software, now));
        if call.request.info.resume.is_none() {
            call.trace.stream_version(text.to_string(), "first-event", None);
            shared.streams().announce(stream, software, now);
            shared.dispatch_wakeup.notify_one();
        }
    }

    /// Sends the record again, if the last time is long ago.
    pub(crate) fn renew(&mut self, call: &Call) {
        let Some((stream, software, sent_at)) = &mut self.sent else { return };
        let shared = call.handle.shared();
        let now = shared.now();
        if *sent_at + streams::RENEWAL_INTERVAL <= now {
            *sent_at = now;
            shared.streams().announce(*stream, *software, now);
            shared.dispatch_wakeup.notify_one();
        }
    }
}
