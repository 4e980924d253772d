//! Hosts that run as child processes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use types::host::Host;

use super::until;

/// A host that runs as a child process; killed when dropped.
pub struct Process {
    pub host: Host,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a host whose settings give port 0 for each listener, and waits until it listens.
    ///
    /// `run` tells the log and settings files of one host's runs apart.
    pub async fn start(mut settings: Value, directory: &Path, run: usize) -> Process {
        let mut host: Host =
            serde_json::from_value(settings["host"].clone()).expect("the host settings are valid");
        let log = directory.join(format!("{}-{run}.log", host.id));
        settings["log"] = serde_json::json!({"file": log, "level": "debug"});
        let file = directory.join(format!("{}-{run}.json", host.id));
        std::fs::write(&file, settings.to_string()).expect("the settings file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamenstage"))
            .args(["serve", "--settings"])
            .arg(&file)
            .spawn()
            .expect("the host process starts");
        let mut process = Process { host: host.clone(), child, log };
        until("the host listens", async || process.read_addresses(&mut host)).await;
        process.host = host;
        process
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn callers(&self) -> SocketAddr {
        self.host.callers
    }

    pub fn operators(&self) -> SocketAddr {
        self.host.operators
    }

    /// Parses the log written so far, a JSON object per line; an incomplete last line is left out.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("the process id fits in i32");
        kill(Pid::from_raw(id), signal).expect("the child process can be signalled");
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has exited; `None` if a signal ended it.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let mut status = None;
        until("the process exits", async || {
            status = self.child.try_wait().expect("the child process can be waited for");
            status.is_some()
        })
        .await;
        status.and_then(|status| status.code())
    }

    /// Reads the listeners' addresses from the log; false as long as they are not logged.
    ///
    /// The system assigns the ports, so that no two processes are given the same one.
    fn read_addresses(&mut self, host: &mut Host) -> bool {
        let status = self.child.try_wait().expect("the child process can be waited for");
        assert!(status.is_none(), "{} exited while starting: {:#?}", host.id, self.log());
        let log = self.log();
        let Some(line) = log.iter().find(|line| line["message"] == "host starts") else {
            return false;
        };
        let address = |role: &str| line["attributes"][role].as_str().and_then(|a| a.parse().ok());
        let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        host.callers = address("callers").expect("the address of the callers listener is logged");
        host.operators =
            address("operators").expect("the address of the operators listener is logged");
        host.peers = address("peers").unwrap_or(unassigned);
        true
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
