//! A host's real process.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

use super::{caller::Caller, until};

/// A host's process; killed when dropped.
#[derive(Debug)]
pub struct Host {
    /// Its name, which is also its door at the store.
    pub name: String,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: Option<SocketAddr>,
}

impl Host {
    /// Starts `program` with settings of ours, and waits until it listens.
    ///
    /// # Errors
    ///
    /// If its settings can't be written or the process can't start.
    ///
    /// # Panics
    ///
    /// If it ends before it listens.
    pub async fn start(
        program: &Path,
        folder: &Path,
        run: usize,
        mut settings: Value,
    ) -> io::Result<Host> {
        let name = settings["host"]["id"].as_str().unwrap_or_default().to_owned();
        let log = folder.join(format!("{name}-{run}.log"));
        // Written at once, where a test doesn't ask for the queue to standard output.
        if settings["log"].is_null() {
            settings["log"] = json!({"file": log, "level": "debug"});
        }
        let file = folder.join(format!("{name}-{run}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut command = Command::new(program);
        let child =
            command.args(["serve", "--settings"]).arg(&file).stdout(File::create(&log)?).spawn()?;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let (callers, operators, peers) = (nowhere, nowhere, None);
        let settings = file;
        let mut host = Host { name, child, settings, log, callers, operators, peers };
        until("the host listens", async || host.listens()).await;
        Ok(host)
    }

    /// Its listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Its listener for the balancer.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Its listener for other hosts, if it has one.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// A caller of it.
    pub fn caller(&self) -> Caller {
        Caller::new(self.callers)
    }

    /// What it answers to the balancer; nothing if it doesn't.
    pub async fn readiness_status(&self) -> Option<StatusCode> {
        let request = Request::get(platform::remote::READY)
            .header(header::HOST, self.operators.to_string())
            .body(Bytes::new())
            .ok()?;
        Some(Caller::new(self.operators).send(request).await.ok()?.head.status)
    }

    /// Waits until it is ready.
    pub async fn wait_until_ready(&self) {
        until("the host is ready", async || self.readiness_status().await == Some(StatusCode::OK))
            .await;
    }

    /// The file of its settings.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// The file of its log.
    pub fn log_file(&self) -> &Path {
        &self.log
    }

    /// What it logged so far, a JSON object a line; a line that is half written is left out.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Whether it logged a message.
    pub fn has_logged(&self, message: &str) -> bool {
        self.log().iter().any(|line| line["message"] == message)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Ends it without notice.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    pub async fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        until("the process ends", async || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status
    }

    /// Reads from its log where it listens; the system picked the ports, so that no two processes
    /// can ever be given the same one.
    fn listens(&mut self) -> bool {
        let log = self.log();
        assert!(self.is_running(), "{} ended at its start: {log:#?}", self.name);
        let Some(line) = log.iter().find(|line| line["message"] == "host starts") else {
            return false;
        };
        let address = |role: &str| line["attributes"][role].as_str().and_then(|a| a.parse().ok());
        let (Some(callers), Some(operators)) = (address("callers"), address("operators")) else {
            return false;
        };
        (self.callers, self.operators, self.peers) = (callers, operators, address("peers"));
        true
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
