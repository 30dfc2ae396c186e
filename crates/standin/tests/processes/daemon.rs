//! One daemon as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use serde_json::Value;

use super::{EVENT_LIMIT, LOOK};

pub(crate) struct Daemon {
    child: Child,
    /// The address that the daemon printed.
    pub(crate) address: SocketAddr,
}

impl Daemon {
    /// Starts a program with settings and waits until it listens.
    pub(crate) async fn start(program: &str, directory: &Path, settings: &Value) -> Self {
        let name = settings["name"].as_str().expect("name");
        let file = directory.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).expect("writes settings");
        let mut child = Command::new(path_of(program))
            .arg("--settings")
            .arg(&file)
            .env("KUMQUATKEEL_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}; run cargo build --workspace"));
        let stdout = child.stdout.take().expect("is piped");
        let read = tokio::task::spawn_blocking(move || {
            let mut line = String::new();
            BufReader::new(stdout).read_line(&mut line).map(|_| line)
        });
        let line = read.await.expect("joins").expect("reads");
        let address = line.split_whitespace().last().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("{program} printed {line:?}"));
        Self { child, address }
    }

    /// Asks the process to stop gracefully.
    pub(crate) fn terminate(&self) {
        let kill = Command::new("kill")
            .arg("-TERM")
            .arg(self.child.id().to_string())
            .status();
        assert!(kill.expect("runs").success());
    }

    /// Ends the process at once.
    pub(crate) async fn kill(&mut self) {
        self.child.kill().expect("kills");
        self.wait().await;
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait(&mut self) -> ExitStatus {
        let end = tokio::time::Instant::now() + EVENT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("waits") {
                return status;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "the process does not end"
            );
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns where the build puts a program: beside this test's directory.
fn path_of(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("has a path");
    let deps = test.parent().expect("has a directory");
    deps.parent().expect("has a directory").join(program)
}
