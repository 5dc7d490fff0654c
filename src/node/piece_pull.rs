//! Fetches the configuration from another node in pieces.

use {
    super::pull_frames::{FrameLimit, Result, read_message, write_message},
    crate::core::{
        transfer::{BatchSize, PieceEntry, PieceStore, PullAnswer, PullRequest},
        view::{PeerCodec, SealKind},
    },
    bytes::Bytes,
    std::{
        io,
        sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
    },
    tokio::io::{AsyncRead, AsyncWrite},
};

/// Most lists in one pull. The other node has another one each time when it applies newer versions
/// meanwhile; one that lacks the pieces of its own list is faulty.
const MAX_LISTS: usize = 4;

/// How a pull that did not fail has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The configuration is complete.
    Complete {
        /// Version that the other node named.
        version: u64,
        /// The configuration as the operator wrote it.
        content: Bytes,
    },
    /// The other node has no newer version.
    NothingNewer,
    /// The other node had no room for a large transfer. Pieces that came before are kept.
    Busy,
}

/// The node that pulls: its codec, its pieces, and how many of them it asks for at a time.
#[derive(Debug)]
pub struct PiecePull<'a> {
    /// Codec of the deployment.
    pub codec: &'a PeerCodec,
    /// Pieces of this node. Each batch that arrives is kept, also when the next one fails.
    pub pieces: &'a Mutex<PieceStore>,
    /// Size of the next batch; kept from one pull to the next.
    pub batch: &'a mut BatchSize,
    /// Bytes of answers so far.
    pub received: &'a AtomicU64,
}

impl PiecePull<'_> {
    /// Pulls the configuration over a connection if the other node has one newer than `above`.
    ///
    /// # Errors
    /// The error of the connection, or [`io::ErrorKind::InvalidData`] when an answer cannot be used.
    pub async fn run<S>(&mut self, stream: &mut S, above: u64) -> Result<PieceOutcome>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        for _ in 0..MAX_LISTS {
            let answer = self.ask(stream, &PullRequest::List { above }).await?;
            let list = match answer {
                PullAnswer::List(Some(list)) if list.version > above => list,
                PullAnswer::List(_) => return Ok(PieceOutcome::NothingNewer),
                _ => return Err(unusable("the answer is not a list of pieces")),
            };
            if !self.pieces().want(list) {
                return Err(unusable("the list of pieces exceeds a bound"));
            }
            // The list is asked for again when the other node has dropped a piece meanwhile.
            while let Some(asked) = self.next_batch() {
                let answer = self.ask(stream, &asked.request()).await?;
                let pieces = match answer {
                    PullAnswer::Pieces(pieces) => pieces,
                    PullAnswer::Busy => return Ok(PieceOutcome::Busy),
                    _ => return Err(unusable("the answer is not a batch of pieces")),
                };
                if pieces.is_empty() {
                    break;
                }
                self.keep(&asked.entries, pieces)?;
                self.batch.grow();
            }
            let assembled = self.pieces().assemble();
            if let Some((version, content)) = assembled {
                return Ok(PieceOutcome::Complete { version, content });
            }
        }
        Err(unusable("the pieces of the list cannot be had"))
    }

    fn pieces(&self) -> MutexGuard<'_, PieceStore> {
        // No code path leaves the pieces half changed.
        self.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_batch(&self) -> Option<PieceBatch> {
        let missing = self.pieces().missing();
        let entries = self.batch.first_of(&missing).to_vec();
        let missing_bytes = missing.iter().map(|entry| u64::from(entry.bytes)).sum();
        (!entries.is_empty()).then_some(PieceBatch {
            entries,
            missing_bytes,
        })
    }

    fn keep(&self, entries: &[PieceEntry], pieces: Vec<Bytes>) -> Result<()> {
        let mut store = self.pieces();
        for (entry, piece) in entries.iter().zip(pieces) {
            if !store.add(entry, piece) {
                return Err(unusable("a piece does not match its digest"));
            }
        }
        Ok(())
    }

    async fn ask<S>(&self, stream: &mut S, request: &PullRequest) -> Result<PullAnswer>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        write_message(stream, self.codec, SealKind::Call, request).await?;
        let limit = FrameLimit::of_content(self.received);
        read_message(stream, self.codec, SealKind::Answer, limit).await
    }
}

/// Pieces that are asked for at a time.
struct PieceBatch {
    entries: Vec<PieceEntry>,
    missing_bytes: u64,
}

impl PieceBatch {
    fn request(&self) -> PullRequest {
        PullRequest::Pieces {
            digests: self.entries.iter().map(|entry| entry.digest).collect(),
            missing_bytes: self.missing_bytes,
        }
    }
}

fn unusable(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
