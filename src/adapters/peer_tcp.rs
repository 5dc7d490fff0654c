use {
    super::{AdapterError, Result},
    crate::{
        core::view::{PeerCodec, SealKind},
        wire::{PeerReply, PeerRequest, ReplyEnvelope, RequestEnvelope},
    },
    error_stack::{Report, ResultExt},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc, oneshot},
        time::timeout,
    },
};

/// Maximum size of a sealed request.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Maximum size of a sealed answer; large enough for the largest operator text.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Longest duration of a call, from connecting to the last byte of the answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum calls served concurrently; further connections are closed at once.
const MAX_CALLS: usize = 64;

/// A call of a peer that waits for the answer of the exchange, and the sender for that answer.
pub(super) type PendingCall = (PeerRequest, oneshot::Sender<PeerReply>);

/// Sends a request to the peer port of a process over TCP and returns its answer.
///
/// # Errors
/// [`AdapterError::Connect`] if no connection could be established, [`AdapterError::Protocol`] if
/// the answer is too large, not authentic, malformed or belongs to another call,
/// [`AdapterError::Interrupted`] if the connection broke or no answer arrived within 2.5 s.
pub async fn call_peer(
    codec: &PeerCodec,
    address: SocketAddr,
    request: PeerRequest,
) -> Result<PeerReply> {
    let exchange = async {
        let stream = TcpStream::connect(address).await;
        let mut stream = stream.change_context(AdapterError::Connect)?;
        let nonce = rand::random();
        let body = codec.seal(SealKind::Call, &RequestEnvelope { nonce, request });
        write_frame(&mut stream, &body).await?;
        let frame = read_frame(&mut stream, MAX_ANSWER_BYTES).await?;
        let envelope: ReplyEnvelope = codec
            .open(SealKind::Answer, &frame, MAX_ANSWER_BYTES)
            .map_err(|reason| {
                protocol_error(&format!("failed to open the sealed answer: {reason}"))
            })?;
        if envelope.nonce != nonce {
            return Err(protocol_error("answer has the nonce of another call"));
        }
        Ok(envelope.reply)
    };
    let outcome = timeout(CALL_TIMEOUT, exchange).await;
    let outcome = outcome.unwrap_or_else(|_| Err(Report::new(AdapterError::Interrupted)));
    outcome.attach_with(|| format!("peer {address}"))
}

/// Serves calls of peers until the receiver of `calls` is dropped.
pub(super) async fn serve_calls(
    listener: TcpListener,
    codec: PeerCodec,
    calls: mpsc::Sender<PendingCall>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CALLS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = calls.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors. The pause lets other connections
            // end and free theirs.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (codec, calls) = (codec.clone(), calls.clone());
        tokio::spawn(async move {
            let _ = timeout(CALL_TIMEOUT, serve_call(stream, &codec, &calls)).await;
            drop(permit);
        });
    }
}

async fn serve_call(
    mut stream: TcpStream,
    codec: &PeerCodec,
    calls: &mpsc::Sender<PendingCall>,
) -> Result<()> {
    let frame = read_frame(&mut stream, MAX_CALL_BYTES).await?;
    let envelope: RequestEnvelope = codec
        .open(SealKind::Call, &frame, MAX_CALL_BYTES)
        .map_err(|reason| protocol_error(&format!("failed to open the sealed call: {reason}")))?;
    let (sender, receiver) = oneshot::channel();
    let queued = calls.send((envelope.request, sender)).await;
    queued.change_context(AdapterError::Interrupted)?;
    let reply = receiver.await.change_context(AdapterError::Interrupted)?;
    let nonce = envelope.nonce;
    let body = codec.seal(SealKind::Answer, &ReplyEnvelope { nonce, reply });
    write_frame(&mut stream, &body).await
}

async fn write_frame(stream: &mut TcpStream, body: &[u8]) -> Result<()> {
    let length = u32::try_from(body.len()).change_context(AdapterError::Protocol)?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    let written = stream.write_all(&frame).await;
    written.change_context(AdapterError::Interrupted)
}

async fn read_frame(stream: &mut TcpStream, limit: usize) -> Result<Vec<u8>> {
    let length = stream.read_u32().await;
    let length = length.change_context(AdapterError::Interrupted)?;
    let length = usize::try_from(length).change_context(AdapterError::Protocol)?;
    if length > limit {
        return Err(protocol_error(&format!(
            "frame of {length} bytes exceeds the limit of {limit} bytes"
        )));
    }
    let mut body = vec![0; length];
    let read = stream.read_exact(&mut body).await;
    read.change_context(AdapterError::Interrupted)?;
    Ok(body)
}

fn protocol_error(detail: &str) -> Report<AdapterError> {
    Report::new(AdapterError::Protocol).attach(detail.to_owned())
}
