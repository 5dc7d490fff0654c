//! Frames of the connections on which nodes pull from each other: a length of four bytes and a
//! sealed body.

use {
    crate::core::{
        transfer::MAX_CONTENT_BYTES,
        view::{PeerCodec, SealKind},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        time::timeout,
    },
};

/// Longest time without a byte of a frame that is due.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a whole frame, however its bytes come.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of reading or writing a frame.
pub type Result<T> = io::Result<T>;

/// Bounds a frame that is read.
#[derive(Debug, Clone, Copy)]
pub struct FrameLimit<'a> {
    /// Most bytes of the body. Anybody can send them, since only a whole frame shows whose it is.
    pub bytes: usize,
    /// Bytes of the body that have arrived, also when the frame never ends.
    pub received: &'a AtomicU64,
}

impl<'a> FrameLimit<'a> {
    /// Limit of an answer, which may hold the largest content.
    #[must_use]
    pub const fn of_content(received: &'a AtomicU64) -> Self {
        Self {
            bytes: MAX_CONTENT_BYTES,
            received,
        }
    }
}

/// Seals a message and writes it as a frame.
///
/// # Errors
/// [`io::ErrorKind::TimedOut`] when the other node does not take the frame in time, or the error of
/// the connection.
pub async fn write_message<S, T>(
    stream: &mut S,
    codec: &PeerCodec,
    kind: SealKind,
    message: &T,
) -> Result<()>
where
    S: AsyncWrite + Unpin,
    T: Serialize,
{
    let body = codec.seal(kind, message);
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let write = async {
        stream.write_all(&length.to_be_bytes()).await?;
        stream.write_all(&body).await?;
        stream.flush().await
    };
    timeout(FRAME_TIMEOUT, write).await?
}

/// Reads a frame within `limit` and opens the message in it.
///
/// # Errors
/// [`io::ErrorKind::TimedOut`] when the frame stalls or takes too long,
/// [`io::ErrorKind::UnexpectedEof`] when the connection ends before it,
/// [`io::ErrorKind::InvalidData`] when it is too large or no message of this deployment, or the
/// error of the connection.
pub async fn read_message<S, T>(
    stream: &mut S,
    codec: &PeerCodec,
    kind: SealKind,
    limit: FrameLimit<'_>,
) -> Result<T>
where
    S: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let body = timeout(FRAME_TIMEOUT, read_body(stream, &limit)).await??;
    let opened = codec.open(kind, &body, limit.bytes);
    opened.map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason.to_string()))
}

async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    limit: &FrameLimit<'_>,
) -> Result<Vec<u8>> {
    let length = timeout(STALL_TIMEOUT, stream.read_u32()).await?? as usize;
    if length > limit.bytes {
        let text = "frame is larger than the limit of a pull";
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = Vec::with_capacity(length);
    let mut body = stream.take(length as u64);
    while bytes.len() < length {
        let count = timeout(STALL_TIMEOUT, body.read_buf(&mut bytes)).await??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        limit.received.fetch_add(count as u64, Ordering::Relaxed);
    }
    Ok(bytes)
}
