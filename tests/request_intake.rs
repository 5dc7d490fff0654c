//! Decisions about the memory for request bodies, and their reading, without a network.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame},
    proptest::prelude::*,
    std::{
        collections::HashMap,
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinHandle},
    toucanring::{
        core::intake::{BodyKey, BodyLedger, IntakeLimits, IntakeVerdict, SMALL_BODY_BYTES},
        intake::{BodyIntake, BodyTerms, IntakeFault, KeptBody},
    },
};

const MIB: usize = 1024 * 1024;

/// Limits in which eight bodies of 1 MiB, and eight small ones, have room.
const LIMITS: IntakeLimits = IntakeLimits {
    large_bytes: 8 * MIB,
    small_bytes: 8 * SMALL_BODY_BYTES,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Adds a body of which `bytes` have arrived and are kept.
fn add_body(ledger: &mut BodyLedger, now: Duration, account: Option<u64>, bytes: usize) -> BodyKey {
    let body = ledger.begin(now, account);
    ledger.note_arrival(now, body, bytes);
    let verdict = ledger.reserve(now, body, bytes);
    assert!(matches!(verdict, IntakeVerdict::Granted(_)), "{verdict:?}");
    body
}

fn victims(verdict: IntakeVerdict) -> Vec<BodyKey> {
    let IntakeVerdict::Granted(mut victims) = verdict else {
        panic!("{verdict:?}");
    };
    victims.sort_unstable();
    victims.to_vec()
}

/// Guards against bodies that stop just short of their end and keep the memory from all others.
#[test]
fn a_body_that_makes_progress_replaces_the_one_with_the_least() {
    let mut ledger = BodyLedger::new(LIMITS);
    let bodies: Vec<BodyKey> = (0..8)
        .map(|_| add_body(&mut ledger, ms(0), None, MIB))
        .collect();
    for body in &bodies[1..] {
        ledger.note_arrival(ms(1_500), *body, MIB);
    }

    let newcomer = ledger.begin(ms(1_600), None);
    ledger.note_arrival(ms(1_600), newcomer, 64 * 1024);
    let verdict = ledger.reserve(ms(1_600), newcomer, 64 * 1024);

    assert_eq!(victims(verdict), [bodies[0]]);
    assert_eq!(
        ledger.reserve(ms(1_600), bodies[0], 1),
        IntakeVerdict::Dropped
    );
    assert_eq!(ledger.held_bytes(), 7 * MIB + 64 * 1024);
}

/// Guards against newcomers that cut off bodies which arrive faster, so that none is ever whole.
#[test]
fn a_body_with_less_progress_than_all_others_finds_no_room() {
    let mut ledger = BodyLedger::new(LIMITS);
    for _ in 0..8 {
        add_body(&mut ledger, ms(0), None, MIB);
    }

    let newcomer = ledger.begin(ms(100), None);
    ledger.note_arrival(ms(100), newcomer, 64 * 1024);
    let verdict = ledger.reserve(ms(100), newcomer, 64 * 1024);

    assert_eq!(verdict, IntakeVerdict::NoRoom);
    assert_eq!(ledger.held_bytes(), 8 * MIB);
    assert_eq!(ledger.bodies(), 8);
}

/// Guards against running requests whose bodies are taken away, and against more bytes than the
/// limits while they run.
#[test]
fn a_whole_body_is_kept() {
    let mut ledger = BodyLedger::new(LIMITS);
    for _ in 0..8 {
        let body = add_body(&mut ledger, ms(0), None, MIB);
        assert!(ledger.finish(body, MIB));
    }

    let newcomer = ledger.begin(ms(5_000), None);
    ledger.note_arrival(ms(5_000), newcomer, MIB);

    assert_eq!(
        ledger.reserve(ms(5_000), newcomer, MIB),
        IntakeVerdict::NoRoom
    );
    assert_eq!(ledger.held_bytes(), 8 * MIB);
}

/// Guards against ordinary requests that are rejected while large or small bodies that never end
/// take all memory.
#[test]
fn a_small_body_always_passes() {
    let mut ledger = BodyLedger::new(LIMITS);
    for _ in 0..8 {
        add_body(&mut ledger, ms(0), None, MIB);
    }
    let most = LIMITS.large_bytes + LIMITS.small_bytes;

    for number in 0..3_000 {
        add_body(&mut ledger, ms(10 + number), None, 20_000);

        assert!(ledger.held_bytes() <= most, "{number}");
    }
}

/// Guards against small running requests that fill their part, so that the unfinished bodies of
/// others keep the rest.
#[test]
fn a_small_body_replaces_an_unfinished_large_one_beside_running_small_ones() {
    let mut ledger = BodyLedger::new(LIMITS);
    for _ in 0..8 {
        let small = add_body(&mut ledger, ms(0), None, SMALL_BODY_BYTES);
        ledger.finish(small, SMALL_BODY_BYTES);
    }
    for _ in 0..8 {
        add_body(&mut ledger, ms(0), None, MIB);
    }

    add_body(&mut ledger, ms(1), None, 100);

    assert_eq!(ledger.bodies(), 16);
}

/// Guards against a legal body that a deployment of the smallest memory never accepts, also where
/// the operator permits bodies larger than the budget.
#[test]
fn a_body_that_is_alone_may_have_any_legal_size() {
    let limits = IntakeLimits::for_memory(Some(160), None);
    let mut ledger = BodyLedger::new(limits);
    for length in [4 * MIB, 2 * limits.large_bytes] {
        let body = ledger.begin(ms(0), None);
        let mut held = 0;
        while held < length {
            ledger.note_arrival(ms(0), body, 64 * 1024);
            assert!(matches!(
                ledger.reserve(ms(0), body, 64 * 1024),
                IntakeVerdict::Granted(_)
            ));
            held += 64 * 1024;
        }
        ledger.end(body);
    }

    assert_eq!(ledger.held_bytes(), 0);
}

/// Guards against a client account whose fast clients take all memory from the others, and against
/// one that takes more than its even share back.
#[test]
fn accounts_share_the_memory_evenly() {
    let mut ledger = BodyLedger::new(LIMITS);
    for _ in 0..8 {
        add_body(&mut ledger, ms(0), Some(1), MIB);
    }

    let mut accepted = 0;
    for _ in 0..8 {
        let body = ledger.begin(ms(0), Some(2));
        ledger.note_arrival(ms(0), body, 64 * 1024);
        let verdict = ledger.reserve(ms(0), body, MIB);
        accepted += u32::from(matches!(verdict, IntakeVerdict::Granted(_)));
    }

    assert_eq!(accepted, 4);
    assert_eq!(ledger.held_bytes(), 8 * MIB);
}

proptest! {
    /// Guards against sums that drift from the bodies, and against more bytes than the limits while
    /// more than one large body is kept.
    #[test]
    fn the_limits_hold_after_any_steps(
        steps in prop::collection::vec((0_u8..5, 0_usize..12, 1_usize..200_000), 1..300),
    ) {
        let limits = IntakeLimits { large_bytes: 500_000, small_bytes: 100_000 };
        let mut ledger = BodyLedger::new(limits);
        let mut bodies: Vec<BodyKey> = Vec::new();
        let mut held: HashMap<BodyKey, usize> = HashMap::new();
        let mut now = Duration::ZERO;
        for (kind, index, bytes) in steps {
            now += ms(50);
            let Some(body) = bodies.get(index).copied().filter(|_| kind > 0) else {
                let account = (index % 4 < 3).then_some(index as u64 % 3);
                bodies.push(ledger.begin(now, account));
                continue;
            };
            match kind {
                1 | 2 => {
                    ledger.note_arrival(now, body, bytes);
                    match ledger.reserve(now, body, bytes) {
                        IntakeVerdict::Granted(victims) => {
                            held.retain(|other, _| !victims.contains(other));
                            *held.entry(body).or_default() += bytes;
                        }
                        _ => { held.remove(&body); }
                    }
                }
                3 => { ledger.finish(body, held.get(&body).copied().unwrap_or_default()); }
                _ => {
                    ledger.end(body);
                    held.remove(&body);
                }
            }
            let sum: usize = held.values().sum();
            let most = held.values().max().copied().unwrap_or_default();
            prop_assert_eq!(ledger.held_bytes(), sum);
            prop_assert!(sum <= 600_000 || sum - most <= 100_000, "{} with {}", sum, most);
        }
    }
}

/// A chunked body that has what is sent, and ends when the sender is dropped.
struct PieceBody(mpsc::UnboundedReceiver<Bytes>);

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.0.poll_recv(context);
        piece.map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

const TERMS: BodyTerms = BodyTerms {
    limit_bytes: 4 * MIB,
    idle: Duration::from_secs(30),
    account: None,
    head_bytes: 500,
};

/// Begins to read a body; the sender gives it its pieces.
fn start_read(
    intake: &Arc<BodyIntake>,
) -> (
    mpsc::UnboundedSender<Bytes>,
    JoinHandle<Result<KeptBody, IntakeFault>>,
) {
    let (sender, pieces) = mpsc::unbounded_channel();
    let intake = Arc::clone(intake);
    let read = async move { intake.read(&mut PieceBody(pieces), TERMS).await };
    (sender, tokio::spawn(read))
}

/// Guards against bytes that are kept and do not count: those of a body that is passed on, until the
/// last attempt has dropped it.
#[tokio::test]
async fn a_body_counts_until_its_last_clone_is_dropped() {
    let intake = BodyIntake::new(IntakeLimits::for_memory(Some(160), None));
    let (sender, read) = start_read(&intake);
    let sent: Vec<u8> = (0..MIB).map(|at| u8::try_from(at % 251).unwrap()).collect();
    for piece in sent.chunks(10_000) {
        sender.send(Bytes::copy_from_slice(piece)).unwrap();
    }
    drop(sender);

    let kept = read.await.unwrap().unwrap();
    let attempt = kept.bytes.clone();

    assert_eq!(kept.bytes, sent);
    drop(kept);
    assert_eq!(intake.held_bytes(), MIB + TERMS.head_bytes);
    drop(attempt);
    assert_eq!((intake.held_bytes(), intake.bodies()), (0, 0));
}

/// Guards against legal clients that are cut off since they are slow, and against a body that stops
/// and is kept for ever.
#[tokio::test(start_paused = true)]
async fn only_a_body_without_a_byte_for_the_whole_time_is_stalled() {
    let intake = BodyIntake::new(IntakeLimits::for_memory(Some(160), None));
    let (sender, read) = start_read(&intake);
    for _ in 0..10 {
        sender.send(Bytes::from_static(b"a")).unwrap();
        tokio::time::sleep(TERMS.idle.mul_f64(0.999)).await;
    }
    assert!(!read.is_finished());

    tokio::time::sleep(TERMS.idle.mul_f64(0.01)).await;

    assert_eq!(read.await.unwrap().unwrap_err(), IntakeFault::Stalled);
    assert_eq!(intake.held_bytes(), 0);
}

/// Guards against chunks of one byte, each of which kept the buffer in which it came, and against a
/// body beyond its limit that is kept.
#[tokio::test]
async fn tiny_pieces_take_no_more_than_their_bytes() {
    let intake = BodyIntake::new(IntakeLimits::for_memory(Some(160), None));
    let (sender, read) = start_read(&intake);
    for _ in 0..100_000 {
        sender.send(Bytes::from_static(b"a")).unwrap();
    }
    while intake.held_bytes() < 100_000 {
        tokio::task::yield_now().await;
    }
    assert!(intake.held_bytes() < 200_000);

    sender
        .send(Bytes::from(vec![b'a'; TERMS.limit_bytes]))
        .unwrap();

    assert_eq!(read.await.unwrap().unwrap_err(), IntakeFault::TooLarge);
    assert_eq!(intake.held_bytes(), 0);
}

/// Guards against memory that stays counted when a caller leaves, or its request is cancelled,
/// halfway through its body.
#[tokio::test]
async fn a_cancelled_read_frees_its_bytes() {
    let intake = BodyIntake::new(IntakeLimits::for_memory(Some(160), None));
    let (sender, read) = start_read(&intake);
    sender.send(Bytes::from(vec![b'a'; MIB])).unwrap();
    while intake.held_bytes() < MIB {
        tokio::task::yield_now().await;
    }

    read.abort();

    assert!(read.await.unwrap_err().is_cancelled());
    assert_eq!((intake.held_bytes(), intake.bodies()), (0, 0));
}

/// Guards against the reader of a dropped body that waits for more of it, and against memory that is
/// freed only when that reader runs.
#[tokio::test(start_paused = true)]
async fn a_dropped_body_is_freed_at_once_and_its_reader_ends() {
    let intake = BodyIntake::new(IntakeLimits {
        large_bytes: MIB,
        small_bytes: 8 * SMALL_BODY_BYTES,
    });
    let (sender, stalled) = start_read(&intake);
    sender
        .send(Bytes::from(vec![b'a'; MIB - 64 * 1024]))
        .unwrap();
    while intake.held_bytes() < MIB - 64 * 1024 {
        tokio::task::yield_now().await;
    }

    tokio::time::sleep(Duration::from_secs(2)).await;
    let (other, read) = start_read(&intake);
    for _ in 0..(MIB / 64 / 1024) {
        other.send(Bytes::from(vec![b'b'; 64 * 1024])).unwrap();
    }
    drop(other);

    let kept = read.await.unwrap().unwrap();
    assert_eq!(stalled.await.unwrap().unwrap_err(), IntakeFault::Dropped);
    assert_eq!(kept.bytes.len(), MIB);
    assert_eq!(intake.held_bytes(), MIB + TERMS.head_bytes);
}
