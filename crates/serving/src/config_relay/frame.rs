//! The messages between an agent and a process that follows it.
//!
//! All numbers are big-endian. A follower sends a [`Hello`] once; the agent then sends [`Update`]s,
//! each a head and the encoded configuration, if there is a newer one.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kumquatkeel_core::store::StorePosition;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Version of the message format; a connection with another one is closed.
const FORMAT: u8 = 3;
/// Size of the head of an update.
const HEAD_BYTES: usize = 33;
/// Longest time for the transfer of a configuration; another agent may be faster.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest encoded configuration, in bytes.
const MAX_CONFIG_BYTES: u32 = 16 * 1024 * 1024;

/// What a follower has when it connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hello {
    /// The version of its configuration; 0 if it has none.
    pub(super) version: u64,
}

/// The state of an agent's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Update {
    /// The version of the agent's configuration.
    pub(super) version: u64,
    /// Where the store has it.
    pub(super) position: StorePosition,
    /// How long ago the store confirmed that there is no newer one.
    pub(super) age: Duration,
    /// The encoded configuration; `None` if the follower has it.
    pub(super) config: Option<Bytes>,
}

impl Hello {
    pub(super) async fn write(self, stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let mut bytes = [0; 9];
        bytes[0] = FORMAT;
        bytes[1..].copy_from_slice(&self.version.to_be_bytes());
        stream.write_all(&bytes).await
    }

    pub(super) async fn read(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        check_format(stream.read_u8().await?)?;
        let version = stream.read_u64().await?;
        Ok(Self { version })
    }
}

impl Update {
    pub(super) async fn write(&self, stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let config = self.config.as_deref().unwrap_or_default();
        let mut head = Vec::with_capacity(HEAD_BYTES);
        head.push(FORMAT);
        for number in [self.version, self.position.era, self.position.revision] {
            head.extend_from_slice(&number.to_be_bytes());
        }
        let age = u32::try_from(self.age.as_millis()).unwrap_or(u32::MAX);
        head.extend_from_slice(&age.to_be_bytes());
        let length = u32::try_from(config.len()).map_err(io::Error::other)?;
        head.extend_from_slice(&length.to_be_bytes());
        stream.write_all(&head).await?;
        stream.write_all(config).await
    }

    /// Reads an update whose parts arrive with pauses of at most `pause`, the configuration within
    /// [`CONFIG_TIMEOUT`].
    pub(super) async fn read(
        stream: &mut (impl AsyncRead + Unpin),
        pause: Duration,
    ) -> io::Result<Self> {
        let mut head = [0; HEAD_BYTES];
        timeout(pause, stream.read_exact(&mut head)).await??;
        let [format, rest @ ..] = head;
        check_format(format)?;
        let number = |range: std::ops::Range<usize>| {
            (rest[range].iter()).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
        };
        let length = number(28..32);
        if length > u64::from(MAX_CONFIG_BYTES) {
            return Err(io::Error::other(format!(
                "a configuration of {length} bytes"
            )));
        }
        let config = read_config(stream, length as usize, pause);
        let config = timeout(CONFIG_TIMEOUT, config).await??;
        Ok(Self {
            version: number(0..8),
            position: StorePosition {
                era: number(8..16),
                revision: number(16..24),
            },
            age: Duration::from_millis(number(24..28)),
            config: (length > 0).then_some(config),
        })
    }
}

async fn read_config(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
    pause: Duration,
) -> io::Result<Bytes> {
    let mut config = BytesMut::new();
    let mut rest = stream.take(length as u64);
    while config.len() < length {
        if timeout(pause, rest.read_buf(&mut config)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(config.freeze())
}

fn check_format(format: u8) -> io::Result<()> {
    if format == FORMAT {
        return Ok(());
    }
    Err(io::Error::other(format!("message format {format}")))
}
