//! A connection between two processes that a test can hold up or cut.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::StandInError;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes wait until the mode changes, as those of a paused process do.
    Stall,
    /// Requests pass and answers vanish.
    LoseAnswers,
    /// Connections break, and no new one is taken.
    Cut,
}

/// A link to a process; clones share it, and it ends with the last of them.
#[derive(Debug, Clone)]
pub struct Link {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    backend: watch::Sender<Option<SocketAddr>>,
    _stop: Arc<DropGuard>,
}

impl Link {
    /// Starts a link that leads nowhere yet.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start() -> Result<Self, StandInError> {
        let wanted = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let failed = |error: std::io::Error| StandInError {
            part: "link",
            peer: wanted,
            reason: error.to_string(),
        };
        let listener = TcpListener::bind(wanted).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let stop = CancellationToken::new();
        let link = Self {
            address,
            mode: watch::Sender::new(LinkMode::Pass),
            backend: watch::Sender::new(None),
            _stop: Arc::new(stop.clone().drop_guard()),
        };
        let (mode, backend) = (link.mode.subscribe(), link.backend.subscribe());
        let accepting = accept(listener, mode, backend);
        tokio::spawn(async move { stop.run_until_cancelled(accepting).await });
        Ok(link)
    }

    /// Starts a link to a process.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn to(backend: SocketAddr) -> Result<Self, StandInError> {
        let link = Self::start().await?;
        link.lead_to(backend);
        Ok(link)
    }

    /// Returns the address that stands for the process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections to another process.
    pub fn lead_to(&self, backend: SocketAddr) {
        self.backend.send_replace(Some(backend));
    }

    /// Sets what becomes of bytes from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// Takes connections; while the link is cut nobody listens, as after a process's end.
async fn accept(
    listener: TcpListener,
    mode: watch::Receiver<LinkMode>,
    backend: watch::Receiver<Option<SocketAddr>>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    while let Some(open) = listener.take() {
        accept_until_cut(&open, &mode, &backend).await;
        drop(open);
        let passing = |mode: &LinkMode| *mode != LinkMode::Cut;
        if mode.clone().wait_for(passing).await.is_err() {
            return;
        }
        listener = TcpListener::bind(address).await.ok();
    }
}

async fn accept_until_cut(
    listener: &TcpListener,
    mode: &watch::Receiver<LinkMode>,
    backend: &watch::Receiver<Option<SocketAddr>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_cut(mode.clone()) => return,
        };
        if let Ok((client, _)) = accepted {
            tokio::spawn(connect(client, mode.clone(), backend.clone()));
        }
    }
}

async fn connect(
    client: TcpStream,
    mut mode: watch::Receiver<LinkMode>,
    backend: watch::Receiver<Option<SocketAddr>>,
) {
    if wait_open(&mut mode).await == LinkMode::Cut {
        return;
    }
    let Some(address) = *backend.borrow() else {
        return;
    };
    let Ok(server) = TcpStream::connect(address).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = pump(client_read, server_write, mode.clone(), Direction::Request);
    let answers = pump(server_read, client_write, mode.clone(), Direction::Answer);
    tokio::select! {
        () = async { tokio::join!(requests, answers); } => {}
        () = wait_cut(mode) => {}
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Passes bytes on until one side ends.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(bytes) = from.read(&mut chunk).await {
        if bytes == 0 {
            break;
        }
        let mode = wait_open(&mut mode).await;
        if mode == LinkMode::LoseAnswers && direction == Direction::Answer {
            continue;
        }
        if to.write_all(&chunk[..bytes]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits while the link is stalled, and returns its mode then.
async fn wait_open(mode: &mut watch::Receiver<LinkMode>) -> LinkMode {
    let open = mode.wait_for(|mode| *mode != LinkMode::Stall).await;
    open.map_or(LinkMode::Cut, |mode| *mode)
}

async fn wait_cut(mut mode: watch::Receiver<LinkMode>) {
    let _ = mode.wait_for(|mode| *mode == LinkMode::Cut).await;
}
