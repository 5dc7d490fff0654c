use {
    super::{BodyIntake, BodyLease, IntakeFault, KeptBody, Result},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{sync::Arc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Longest time for which a rejected body is read on.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// How a body is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTerms {
    /// Largest permitted body in bytes.
    pub limit_bytes: usize,
    /// Longest permitted time without a byte.
    pub idle: Duration,
    /// Number that identifies the client account; none when it is not known.
    pub account: Option<u64>,
    /// Bytes of the head of the request, which count too.
    pub head_bytes: usize,
}

impl BodyIntake {
    /// Reads a body to its end. Bytes count from before they are kept until the result and its
    /// clones are dropped.
    ///
    /// # Errors
    /// See [`IntakeFault`]. Nothing is kept then; the rest of the body is unread.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        self: &Arc<Self>,
        body: &mut B,
        terms: BodyTerms,
    ) -> Result<KeptBody> {
        // Without an exact length the body has chunks.
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > terms.limit_bytes) {
            return Err(IntakeFault::TooLarge);
        }
        let (lease, dropped) = self.begin(terms.account, terms.head_bytes)?;
        if body.is_end_stream() {
            return self.finish(lease);
        }
        let most = length.unwrap_or(terms.limit_bytes);
        self.read_frames(body, &lease, &dropped, (most, terms))
            .await?;
        self.finish(lease)
    }

    async fn read_frames<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        lease: &BodyLease,
        dropped: &Notify,
        (most, terms): (usize, BodyTerms),
    ) -> Result<()> {
        let key = lease.key;
        let stalled = tokio::time::sleep(terms.idle);
        tokio::pin!(stalled);
        let mut received: usize = 0;
        loop {
            self.make_room(key, most.saturating_sub(received))?;
            let frame = tokio::select! {
                biased;
                () = dropped.notified() => return Err(IntakeFault::Dropped),
                frame = body.frame() => frame,
                () = &mut stalled => {
                    let idle = self.idle_time(key).ok_or(IntakeFault::Dropped)?;
                    let left = terms.idle.saturating_sub(idle);
                    if left.is_zero() {
                        return Err(IntakeFault::Stalled);
                    }
                    stalled.as_mut().reset(Instant::now() + left);
                    continue;
                }
            };
            let Some(frame) = frame else {
                return Ok(());
            };
            let Ok(data) = frame.map_err(|_| IntakeFault::CutOff)?.into_data() else {
                continue;
            };
            self.append(key, &data, most)?;
            received += data.len();
        }
    }

    /// Reads a rejected body on for a short time without keeping it, so that the caller gets the
    /// response before its connection is closed. Nothing is read when many are read on already.
    pub fn discard_rest<B>(&self, body: B, limit_bytes: usize)
    where
        B: Body<Data = Bytes> + Unpin + Send + 'static,
        B::Error: Send,
    {
        let Ok(permit) = Arc::clone(&self.discard_permits).try_acquire_owned() else {
            return;
        };
        let pass_over = async move {
            let mut body = body;
            let mut passed = 0;
            while let Some(Ok(frame)) = body.frame().await {
                passed += frame.data_ref().map_or(0, Bytes::len);
                if passed > limit_bytes {
                    return;
                }
            }
        };
        tokio::spawn(async move {
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, pass_over).await;
            drop(permit);
        });
    }
}
