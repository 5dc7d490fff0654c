//! Tests with faulty servers that send bytes without end.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame},
    std::{
        convert::Infallible,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    toucanring::node::{EventSplitter, ResponseBudget},
};

const PIECE: &[u8] = &[b'x'; 64 * 1024];

/// A body without end. It yields to other tasks between its pieces; `most_held` is the largest
/// number of bytes that all readers together held.
struct EndlessBody {
    budget: Arc<ResponseBudget>,
    most_held: Arc<AtomicUsize>,
    is_pending: bool,
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.most_held
            .fetch_max(self.budget.held_bytes(), Ordering::Relaxed);
        self.is_pending = !self.is_pending;
        if self.is_pending {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(PIECE)))))
    }
}

/// Guards against responses without end that fill the memory of a node: each may take 16 MiB, while
/// an instance has 160 MB for everything.
#[tokio::test]
async fn endless_bodies_together_stay_within_the_memory_of_a_node() {
    let budget = Arc::new(ResponseBudget::new(Some(160)));
    let most_held = Arc::new(AtomicUsize::new(0));
    let mut readers = Vec::new();

    for _ in 0..40 {
        let budget = Arc::clone(&budget);
        let body = EndlessBody {
            budget: Arc::clone(&budget),
            most_held: Arc::clone(&most_held),
            is_pending: false,
        };
        readers.push(tokio::spawn(async move { budget.collect(body).await }));
    }

    for reader in readers {
        assert_eq!(reader.await.unwrap(), None);
    }
    assert!(most_held.load(Ordering::Relaxed) <= budget.limit_bytes());
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against a small response that is refused while no other one is being read.
#[tokio::test]
async fn a_small_response_is_collected() {
    let budget = ResponseBudget::new(None);
    let body = http_body_util::Full::new(Bytes::from_static(PIECE));

    let answer = budget.collect(body).await;

    assert_eq!(answer.map(|bytes| bytes.len()), Some(PIECE.len()));
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against a quadratic search: a stream without the end of an event was searched again from
/// its start with each piece, which takes minutes of processor time.
#[test]
fn an_endless_event_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let mut pushed = 0_usize;

    while !splitter.is_oversized() {
        assert_eq!(splitter.push(b"x"), None);
        pushed += 1;
    }

    assert_eq!(pushed, 1024 * 1024 + 1);
}

/// Guards against missing the end of an event that is split between two pieces.
#[test]
fn event_ends_split_between_pieces_are_found() {
    for end in ["\n\n", "\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        let text = format!("id: 7\ndata: a{end}");
        let mut batches = Vec::new();
        for byte in text.bytes() {
            batches.extend(splitter.push(&[byte]));
        }
        assert_eq!(batches.len(), 1, "{end:?}");
        assert_eq!(batches[0].bytes, text.as_bytes());
        assert_eq!(batches[0].ids, Some((7, 7)));
    }
}
