//! Sends the configuration to the processes that follow this one.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::frame::{Hello, Update};
use super::hub::{ConfigHub, HeldConfig};
use crate::net::{accept, set_socket_options};

/// Most followers at a time; others are turned away and find another upstream.
const MAX_FOLLOWERS: usize = 64;
/// Longest wait for a follower's first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for sending one update.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts followers for as long as the process runs.
pub(crate) async fn serve_followers(listener: TcpListener, hub: ConfigHub) {
    let places = Arc::new(Semaphore::new(MAX_FOLLOWERS));
    loop {
        let (stream, peer) = accept(&listener).await;
        let Ok(place) = places.clone().try_acquire_owned() else {
            log::info!(peer:%; "follower turned away; too many of them");
            continue;
        };
        let hub = hub.clone();
        tokio::spawn(async move {
            let _place = place;
            if let Err(error) = serve_follower(stream, &hub).await {
                log::debug!(peer:%, error:%; "follower lost");
            }
        });
    }
}

async fn serve_follower(mut stream: TcpStream, hub: &ConfigHub) -> io::Result<()> {
    set_socket_options(&stream)?;
    let hello = timeout(HELLO_TIMEOUT, Hello::read(&mut stream)).await??;
    let mut version = hello.version;
    let mut held = hub.subscribe();
    loop {
        let update = (held.borrow_and_update().as_ref()).map(|held| update_for(version, held));
        if let Some(update) = update {
            timeout(SEND_TIMEOUT, update.write(&mut stream)).await??;
            version = version.max(update.version);
        }
        if held.changed().await.is_err() {
            return Ok(());
        }
    }
}

/// Returns the update for a follower that has `version`.
fn update_for(version: u64, held: &HeldConfig) -> Update {
    Update {
        version: held.version,
        position: held.position,
        age: held.confirmed.elapsed(),
        config: (held.version > version).then(|| held.encoded.clone()),
    }
}
