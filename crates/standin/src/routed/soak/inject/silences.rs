//! Silences of sound servers, during which requests to the other servers of the service meet a fault.

use super::{Injector, Span};
use crate::routed::{
    server::Fault as ServerFault,
    soak::{record::Silence, site},
};

impl Injector {
    /// Makes a server silent to all hosts, with a fault at the others of its service.
    pub(super) fn begin_silence(&mut self, server: usize, fault: ServerFault) {
        let address = self.server(server).address();
        self.site.backend.server_links().pause(address);
        for other in site::same_service(server).filter(|other| *other != server) {
            self.server(other).script(|script| {
                script.default_fault.get_or_insert(fault);
            });
        }
        let span = Span { from: self.now(), to: std::time::Duration::MAX };
        let (server, service) = (self.servers[server].0.clone(), site::SERVERS[server].to_owned());
        self.silences.push(Silence { server, service, address, span });
    }

    /// Lets the server go on that was silenced last, and the others of its service serve again.
    pub(super) fn end_silence(&mut self, server: usize, fault: ServerFault) {
        let now = self.now();
        let Some(silence) = self.silences.last_mut() else { return };
        silence.span.to = now;
        self.site.backend.server_links().resume(silence.address);
        for other in site::same_service(server).filter(|other| *other != server) {
            self.server(other).script(|script| {
                if script.default_fault == Some(fault) {
                    script.default_fault = None;
                }
            });
        }
    }
}
