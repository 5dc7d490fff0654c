//! Answers the pulls of other nodes.

use {
    super::pull_frames::{FrameLimit, Result, read_message, write_message},
    crate::core::{
        transfer::{PieceDigest, PieceStore, PullAnswer, PullRequest},
        view::{PeerCodec, SealKind},
    },
    bytes::Bytes,
    std::{
        sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// Bandwidth in Mbit/s that each large transfer shall get, as much as the nodes with the narrowest
/// links take. With more transfers than that, none would end sooner, and the first ones later: a node
/// that has the content passes it on.
const TRANSFER_MBPS: f64 = 20.0;

/// Fewest large transfers at the same time, so that a node that falls silent holds up no other.
const MIN_LARGE_TRANSFERS: usize = 2;

/// Most large transfers at the same time, however wide the link is.
const MAX_LARGE_TRANSFERS: usize = 16;

/// Largest content in bytes, before compression, that is sent without regard to that number.
const SMALL_CONTENT_BYTES: u64 = 64 * 1_024;

/// Usual size of an entry in the list of servers in bytes.
const SERVER_ENTRY_BYTES: u64 = 150;

/// Longest time that a node waits for its turn before it is told to ask elsewhere.
const TURN_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest request in bytes: the digests of all pieces of the largest content take 128 KiB.
const MAX_REQUEST_BYTES: usize = 144 * 1_024;

/// Largest sum of the sizes of compressed pieces in an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 512 * 1_024;

/// Answers pulls on any number of connections.
#[derive(Debug, Clone)]
pub struct PullServer {
    codec: PeerCodec,
    large_transfers: Arc<Semaphore>,
}

impl PullServer {
    /// Creates a server with the codec of the deployment, for a link of `link_mbps` Mbit/s.
    #[must_use]
    pub fn new(codec: PeerCodec, link_mbps: f64) -> Self {
        // A conversion to an integer type is bounded by its range.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let transfers = (link_mbps / TRANSFER_MBPS) as usize;
        Self {
            codec,
            large_transfers: Arc::new(Semaphore::new(
                transfers.clamp(MIN_LARGE_TRANSFERS, MAX_LARGE_TRANSFERS),
            )),
        }
    }

    /// Answers the requests on a connection until the other node closes it or falls silent.
    /// `list_servers` gives the answer to a request for the list of backend servers; `note_busy` is
    /// called when the other node is told to ask elsewhere.
    ///
    /// # Errors
    /// The error of the connection; [`std::io::ErrorKind::UnexpectedEof`] is its usual end.
    pub async fn serve<S>(
        &self,
        stream: &mut S,
        pieces: &Mutex<PieceStore>,
        list_servers: impl Fn() -> PullAnswer,
        note_busy: impl Fn(u64),
    ) -> Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let received = AtomicU64::new(0);
        let mut turn = None;
        loop {
            let limit = FrameLimit {
                bytes: MAX_REQUEST_BYTES,
                received: &received,
            };
            let request = read_message(stream, &self.codec, SealKind::Call, limit).await?;
            let answer = match request {
                PullRequest::List { above } => {
                    let pieces = pieces.lock().unwrap_or_else(PoisonError::into_inner);
                    PullAnswer::List(pieces.newer_list(above).cloned())
                }
                PullRequest::Pieces {
                    digests,
                    missing_bytes,
                } => {
                    if self.take_turn(&mut turn, missing_bytes).await {
                        PullAnswer::Pieces(collect_pieces(pieces, &digests))
                    } else {
                        note_busy(missing_bytes);
                        PullAnswer::Busy
                    }
                }
                PullRequest::Servers => {
                    let answer = list_servers();
                    let bytes = list_bytes(&answer);
                    if self.take_turn(&mut turn, bytes).await {
                        answer
                    } else {
                        note_busy(bytes);
                        PullAnswer::Busy
                    }
                }
            };
            write_message(stream, &self.codec, SealKind::Answer, &answer).await?;
        }
    }

    /// Waits until one more large content can be sent. The connection keeps its turn to its end.
    async fn take_turn(&self, turn: &mut Option<OwnedSemaphorePermit>, missing_bytes: u64) -> bool {
        if turn.is_some() || missing_bytes <= SMALL_CONTENT_BYTES {
            return true;
        }
        let permit = Arc::clone(&self.large_transfers).acquire_owned();
        *turn = timeout(TURN_TIMEOUT, permit)
            .await
            .ok()
            .and_then(std::result::Result::ok);
        turn.is_some()
    }
}

/// About the size of a list of servers in bytes.
fn list_bytes(answer: &PullAnswer) -> u64 {
    match answer {
        PullAnswer::Servers { entries, .. } => entries.len() as u64 * SERVER_ENTRY_BYTES,
        _ => 0,
    }
}

fn collect_pieces(pieces: &Mutex<PieceStore>, digests: &[PieceDigest]) -> Vec<Bytes> {
    let pieces = pieces.lock().unwrap_or_else(PoisonError::into_inner);
    let mut collected = Vec::with_capacity(digests.len());
    let mut bytes = 0;
    for digest in digests {
        let Some(piece) = pieces.piece(digest) else {
            break;
        };
        bytes += piece.len();
        if bytes > MAX_ANSWER_BYTES {
            break;
        }
        collected.push(piece.clone());
    }
    collected
}
