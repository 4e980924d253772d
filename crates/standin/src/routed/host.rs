//! Real host processes, started with generated settings and observed through their logs.

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

/// A running host process; killed when dropped.
#[derive(Debug)]
pub struct Host {
    /// The host's id, which is also the name of its endpoint at the store.
    pub name: String,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: Option<SocketAddr>,
}

impl Host {
    /// Starts `program` with `settings`, and waits until it listens. Settings and log are written
    /// to `folder`, under the host's id and `run`.
    ///
    /// # Errors
    ///
    /// If the settings can't be written or the process can't be started.
    ///
    /// # Panics
    ///
    /// If the process ends before it listens.
    pub async fn start(
        program: &Path,
        folder: &Path,
        run: usize,
        mut settings: Value,
    ) -> io::Result<Host> {
        let name = settings["host"]["id"].as_str().unwrap_or_default().to_owned();
        let log = folder.join(format!("{name}-{run}.log"));
        // Logs to a file are written immediately; a test that needs the log queue to standard
        // output sets that itself.
        if settings["log"].is_null() {
            settings["log"] = json!({"file": log, "level": "debug"});
        }
        let file = folder.join(format!("{name}-{run}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut command = Command::new(program);
        let child =
            command.args(["serve", "--settings"]).arg(&file).stdout(File::create(&log)?).spawn()?;
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let (callers, operators, peers) = (unknown, unknown, None);
        let settings = file;
        let mut host = Host { name, child, settings, log, callers, operators, peers };
        until("the host listens", async || host.find_addresses()).await;
        Ok(host)
    }

    /// Address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address of the listener for operators, which the load balancer asks for readiness.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address of the listener for other hosts, if it has one.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// A new caller of the host.
    pub fn caller(&self) -> Caller {
        Caller::new(self.callers)
    }

    /// The HTTP status with which the host answers the load balancer's readiness probe; `None` if
    /// it doesn't answer.
    pub async fn readiness_status(&self) -> Option<StatusCode> {
        let request = Request::get(platform::remote::READY)
            .header(header::HOST, self.operators.to_string())
            .body(Bytes::new())
            .ok()?;
        Some(Caller::new(self.operators).send(request).await.ok()?.head.status)
    }

    /// Waits until the readiness probe succeeds.
    pub async fn wait_until_ready(&self) {
        until("the host is ready", async || self.readiness_status().await == Some(StatusCode::OK))
            .await;
    }

    /// The file with the settings of this start.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// The file with the log of this start.
    pub fn log_file(&self) -> &Path {
        &self.log
    }

    /// The records logged so far, one JSON object per line; an incomplete last line is left out.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Whether a record with exactly this message was logged.
    pub fn has_logged(&self, message: &str) -> bool {
        self.log().iter().any(|line| line["message"] == message)
    }

    /// The process id that the operating system assigned to this start.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal; does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // The process may have ended by itself.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process.
    pub async fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        until("the process ends", async || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status
    }

    /// Reads the listeners' addresses from the log; false until they are logged. The operating
    /// system picks the ports, so that no two processes get the same one.
    fn find_addresses(&mut self) -> bool {
        let log = self.log();
        assert!(self.is_running(), "{} ended during startup: {log:#?}", self.name);
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
