//! A store that responds to list calls at once, and to watch calls when an object has changed or
//! their wait is over.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use relay::edge::{Change, Object, ObjectKind, Page, StoreReply, WatchBatch};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};
use types::routed::{Declaration, Server};

/// How the store ends a call.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
    /// It answers after a delay, during which the thread is free.
    Answer(Duration),
    /// It closes the connection.
    Close,
}

/// A call during which the thread is blocked, which is also the host's.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Start of the call's path.
    pub path: &'static str,
    pub blocked: Duration,
    pub ending: Ending,
}

/// The store's objects: the declaration, the registered servers and the lease on orders.
pub struct StoreObjects {
    pub declaration: Declaration,
    servers: Mutex<Vec<Server>>,
    lease: Mutex<Option<Object>>,
    /// Kinds of which the next object or list that is parsed makes the parser panic.
    planted: Mutex<Vec<ObjectKind>>,
    revision: watch::Sender<u64>,
    /// Servers that are no longer registered.
    removed: Mutex<Vec<Arc<str>>>,
    /// Whether watches get no response.
    is_silent: AtomicBool,
    /// Whether calls other than watches get no response.
    is_mute: AtomicBool,
    /// The stall of the next call that it applies to.
    stall: watch::Sender<Option<Stall>>,
    /// Whether the host has registered itself.
    pub registered: watch::Sender<bool>,
}

impl StoreObjects {
    pub fn new(declaration: Declaration) -> StoreObjects {
        StoreObjects {
            declaration,
            servers: Mutex::default(),
            lease: Mutex::default(),
            planted: Mutex::default(),
            revision: watch::Sender::new(1),
            removed: Mutex::default(),
            is_silent: AtomicBool::new(false),
            is_mute: AtomicBool::new(false),
            stall: watch::Sender::default(),
            registered: watch::Sender::new(false),
        }
    }

    pub fn register(&self, server: Server) {
        self.servers.lock().expect("servers").push(server);
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Removes the entry of a server.
    pub fn deregister(&self, name: &str) {
        self.servers.lock().expect("servers").retain(|server| &*server.id != name);
        self.removed.lock().expect("removed").push(name.into());
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Stalls the next call that the stall applies to; returns once the thread was blocked.
    pub async fn stall(&self, stall: Stall) {
        let mut stalls = self.stall.subscribe();
        self.stall.send_replace(Some(stall));
        stalls.wait_for(Option::is_none).await.expect("a store");
    }

    fn take_stall(&self, head: &str) -> Option<Stall> {
        let stall = (*self.stall.borrow()).filter(|stall| head.contains(stall.path))?;
        thread::sleep(stall.blocked);
        self.stall.send_replace(None);
        Some(stall)
    }

    /// Sets whether calls other than watches that are sent from now on get no response.
    pub fn set_mute(&self, is_mute: bool) {
        self.is_mute.store(is_mute, Ordering::Relaxed);
    }

    /// Sets whether watches that are sent from now on get no response.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    pub fn server(&self, name: &str) -> Option<Server> {
        self.servers.lock().expect("servers").iter().find(|server| &*server.id == name).cloned()
    }

    /// Lets the next object or list of a kind make its parser panic.
    pub fn plant(&self, kind: ObjectKind) {
        self.planted.lock().expect("planted").push(kind);
    }

    /// Panics if this was planted for a kind, once.
    pub fn parse(&self, kind: ObjectKind) {
        let mut planted = self.planted.lock().expect("planted");
        let Some(position) = planted.iter().position(|other| *other == kind) else { return };
        planted.swap_remove(position);
        drop(planted);
        panic!("planted for {kind:?}");
    }

    pub fn lease(&self) -> Option<Object> {
        self.lease.lock().expect("the lease").clone()
    }

    /// Writes the lease, unless it has changed since `on`.
    pub fn write_lease(&self, on: Option<u64>, name: &str, content: &Value) -> StoreReply {
        let mut lease = self.lease.lock().expect("the lease");
        let known = lease.as_ref().map(|lease| lease.revision);
        if known != on {
            return StoreReply::Conflict(lease.clone());
        }
        let revision = known.unwrap_or_default() + 1;
        let written = Object { name: name.into(), revision, content: content.clone() };
        *lease = Some(written.clone());
        StoreReply::Object(written)
    }

    pub fn page(&self, kind: ObjectKind) -> Page {
        let revision = *self.revision.borrow();
        let names: Vec<Arc<str>> = match kind {
            ObjectKind::Declaration => vec!["declaration".into()],
            ObjectKind::Server => {
                self.servers.lock().expect("servers").iter().map(|s| s.id.clone()).collect()
            }
            ObjectKind::Host
            | ObjectKind::Lease
            | ObjectKind::Quarantine
            | ObjectKind::Versions => Vec::new(),
        };
        let objects = names.into_iter().map(|name| Object { name, revision, content: Value::Null });
        Page { objects: objects.collect(), more: false, revision }
    }

    pub fn changes(&self, kind: ObjectKind, since: u64) -> WatchBatch {
        let page = self.page(kind);
        let written = page.objects.into_iter().filter(|_| since < page.revision);
        let removed = self.removed.lock().expect("removed");
        let removed = removed.iter().filter(|_| kind == ObjectKind::Server);
        let removed =
            removed.map(|name| Change::Removed { name: name.clone(), revision: page.revision });
        let changes = removed.chain(written.map(Change::Written)).collect();
        WatchBatch { changes, revision: page.revision }
    }
}

/// Starts the store; returns its address.
pub async fn listen(objects: Arc<StoreObjects>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(objects.clone(), stream));
        }
    });
    address
}

/// Answers calls with empty bodies; `GET /watch/N/MS` waits for a revision above N, but no longer than
/// that many milliseconds.
async fn serve(objects: Arc<StoreObjects>, mut stream: TcpStream) {
    let mut revisions = objects.revision.subscribe();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read_exact(&mut byte).await.is_ok() {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8(std::mem::take(&mut head)).expect("a head");
        if let Some((since, wait)) = watch_times(&text) {
            if objects.is_silent.load(Ordering::Relaxed) {
                continue;
            }
            let _ = timeout(wait, revisions.wait_for(|revision| since < *revision)).await;
        } else if objects.is_mute.load(Ordering::Relaxed) {
            continue;
        }
        match objects.take_stall(&text).map(|stall| stall.ending) {
            Some(Ending::Answer(delay)) => sleep(delay).await,
            Some(Ending::Close) => return,
            None => {}
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Returns the revision and the wait in the head of a watch call.
fn watch_times(head: &str) -> Option<(u64, Duration)> {
    let (_, rest) = head.split_once("/watch/")?;
    let (since, wait) = rest.split_once(' ')?.0.split_once('/')?;
    Some((since.parse().ok()?, Duration::from_millis(wait.parse().ok()?)))
}
