//! Pulls of a configuration from nodes that do not behave.

use {
    rstest::rstest,
    std::{
        sync::{Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, DuplexStream},
        time::timeout,
    },
    toucanring::{
        core::{
            transfer::{BatchSize, PieceList, PieceStore, PullAnswer, PullRequest},
            view::{PeerCodec, SealKind},
        },
        node::{PieceOutcome, PiecePull},
    },
};

const CONTENT: &[u8] = b"a configuration";

/// Longest time that a pull from a faulty node may take; time is virtual.
const PULL_LIMIT: Duration = Duration::from_secs(5);

fn codec() -> PeerCodec {
    PeerCodec::new([5; 32])
}

async fn read_request(stream: &mut DuplexStream) -> Option<PullRequest> {
    let length = stream.read_u32().await.ok()?;
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.ok()?;
    codec().open(SealKind::Call, &bytes, 1 << 20).ok()
}

/// Answers the list of a configuration, and each request for its pieces by `answer`.
async fn hold(mut stream: DuplexStream, answer: fn() -> Vec<u8>) {
    while let Some(request) = read_request(&mut stream).await {
        let bytes = match request {
            PullRequest::List { .. } => {
                frame(&PullAnswer::List(Some(PieceList::split(7, CONTENT))))
            }
            _ => answer(),
        };
        // The pull may have ended.
        let _ = stream.write_all(&bytes).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn frame(answer: &PullAnswer) -> Vec<u8> {
    let body = codec().seal(SealKind::Answer, answer);
    let length = u32::try_from(body.len()).expect("a small answer");
    [length.to_be_bytes().to_vec(), body].concat()
}

async fn pull_from(answer: fn() -> Vec<u8>) -> std::io::Result<PieceOutcome> {
    let (mut stream, holder) = tokio::io::duplex(64 * 1_024);
    tokio::spawn(hold(holder, answer));
    let (codec, pieces, received) = (
        codec(),
        Mutex::new(PieceStore::default()),
        AtomicU64::new(0),
    );
    let mut batch = BatchSize::default();
    let mut pull = PiecePull {
        codec: &codec,
        pieces: &pieces,
        batch: &mut batch,
        received: &received,
    };
    let ended = timeout(PULL_LIMIT, pull.run(&mut stream, 0)).await;
    ended.expect("the pull ends")
}

/// Guards against a pull that never ends, so that the node asks no other one for its configuration.
#[rstest]
#[case::without_pieces(|| frame(&PullAnswer::Pieces(Vec::new())))]
#[case::of_another_kind(|| frame(&PullAnswer::List(None)))]
#[case::of_no_kind(|| vec![0, 0, 0, 2, 1, 1])]
#[case::too_large(|| vec![255; 8])]
#[case::cut_off(|| vec![0, 0, 1, 0, 4, 3])]
#[case::silent(Vec::new)]
#[tokio::test(start_paused = true)]
async fn a_pull_from_a_faulty_node_fails(#[case] answer: fn() -> Vec<u8>) {
    let ended = pull_from(answer).await;

    assert!(ended.is_err(), "{ended:?}");
}

/// Guards against a pull that takes a busy node for a faulty one, which is avoided for longer.
#[tokio::test(start_paused = true)]
async fn a_busy_node_is_told_apart() {
    let ended = pull_from(|| frame(&PullAnswer::Busy)).await;

    assert_eq!(ended.expect("no failure"), PieceOutcome::Busy);
}
