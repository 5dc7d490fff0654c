use {
    super::call_context::CallContext,
    crate::{
        conf::{OperatorText, RequestKind},
        core::dispatch::{Refusal, RefusalReason},
        intake::{BodyTerms, IntakeFault, KeptBody, NO_ROOM_RETRY, NO_ROOM_SPREAD_MS},
    },
    cadence::CountedExt,
    hyper::{HeaderMap, body::Incoming, header},
    rand::RngExt,
    slog::warn,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time in which the whole request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length of a request id or an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Maximum value of `Request-Timeout-Ms`.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Time limit of a request without `Request-Kind` and `Request-Timeout-Ms`.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Checked headers of a request.
#[derive(Debug, Clone)]
pub(super) struct RequestHead {
    pub(super) account: String,
    pub(super) kind: RequestKind,
    /// Monotonic time by which the first token, or the whole answer of a plain service, is due.
    pub(super) deadline: Duration,
    pub(super) idempotency_key: Option<String>,
}

impl RequestHead {
    /// Authenticates the caller and checks the headers; `text` names the accounts and kinds.
    pub(super) fn read(
        context: &CallContext,
        text: &OperatorText,
        headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        let account = find_account(text, headers)?;
        let kind = find_kind(text, headers)?;
        let deadline_ms = match header_text(headers, "Request-Timeout-Ms")? {
            None => kind.deadline_ms,
            Some(value) => value
                .parse()
                .ok()
                .filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms))
                .ok_or_else(|| {
                    invalid(&format!(
                        "Request-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}, not {value:?}"
                    ))
                })?,
        };
        let idempotency_key = header_text(headers, "Idempotency-Key")?;
        if let Some(key) = &idempotency_key
            && !is_valid_key(key)
        {
            return Err(invalid(&format!(
                "Idempotency-Key must have 1 to {MAX_KEY_BYTES} letters, digits, '.', '_' or '-'"
            )));
        }
        Ok(Self {
            account,
            kind,
            deadline: context.now() + Duration::from_millis(deadline_ms),
            idempotency_key,
        })
    }
}

/// The caller's `Request-Id`; made from the boot number and `ticket` if it is missing or invalid.
pub(super) fn request_id(context: &CallContext, headers: &HeaderMap, ticket: u64) -> String {
    header_text(headers, "Request-Id")
        .ok()
        .flatten()
        .filter(|id| is_valid_key(id))
        .unwrap_or_else(|| format!("{:016x}-{ticket}", context.runtime.boot))
}

/// Reads a request body into memory, which counts until the result and its clones are dropped.
pub(super) async fn read_body(
    context: &CallContext,
    account: &str,
    mut body: Incoming,
) -> Result<KeptBody, Refusal> {
    let mut hasher = DefaultHasher::new();
    account.hash(&mut hasher);
    let terms = BodyTerms {
        limit_bytes: MAX_BODY_BYTES,
        idle: BODY_TIMEOUT,
        account: Some(hasher.finish()),
        head_bytes: 0,
    };
    let read = context.intake.read(&mut body, terms);
    let kept = tokio::time::timeout(BODY_TIMEOUT, read).await;
    let fault = match kept {
        Ok(Ok(kept)) => return Ok(kept),
        Ok(Err(fault)) => fault,
        Err(_) => IntakeFault::Stalled,
    };
    if context.intake.is_log_due(fault) {
        warn!(context.runtime.logger, "rejected a request body; logged once a minute for each reason";
            "reason" => %fault, "held_bytes" => context.intake.held_bytes(),
            "requests" => context.intake.bodies(), "limit_bytes" => MAX_BODY_BYTES);
    }
    if !matches!(fault, IntakeFault::CutOff | IntakeFault::Stalled) {
        context.intake.discard_rest(body, MAX_BODY_BYTES);
    }
    let refusal = body_refusal(fault);
    let name = format!("requests.dropped.{}", refusal.reason.name());
    let _ = context.runtime.metrics.incr(&name);
    Err(refusal)
}

fn body_refusal(fault: IntakeFault) -> Refusal {
    let not_run = Refusal::not_run;
    let detail = fault.to_string();
    match fault {
        IntakeFault::TooLarge => {
            let detail = format!("the body has more than {MAX_BODY_BYTES} bytes");
            not_run(RefusalReason::TooLarge, &detail)
        }
        IntakeFault::Stalled => not_run(RefusalReason::BodyStalled, &detail),
        IntakeFault::NoRoom | IntakeFault::Dropped => {
            let spread = rand::rng().random_range(0..NO_ROOM_SPREAD_MS);
            let after = NO_ROOM_RETRY + Duration::from_millis(spread);
            not_run(RefusalReason::NoBodyRoom, &detail).after(after)
        }
        IntakeFault::CutOff => invalid(&detail),
    }
}

/// Refuses an invalid request with status 400.
pub(super) fn invalid(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, detail)
}

fn find_account(text: &OperatorText, headers: &HeaderMap) -> Result<String, Refusal> {
    let refusal = |detail: &str| Refusal::not_run(RefusalReason::BadKey, detail);
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        return Err(refusal("Authorization must be `Bearer` and a key"));
    };
    // Compares digests, so that the time taken reveals nothing about the key.
    let digest = blake3::hash(key.trim().as_bytes());
    let known = text.client_accounts.iter().find(|account| {
        blake3::Hash::from_hex(account.key_digest.as_bytes()).is_ok_and(|known| known == digest)
    });
    known
        .map(|account| account.name.clone())
        .ok_or_else(|| refusal("the bearer key is unknown"))
}

fn find_kind(text: &OperatorText, headers: &HeaderMap) -> Result<RequestKind, Refusal> {
    let Some(name) = header_text(headers, "Request-Kind")? else {
        return Ok(RequestKind {
            name: "other".to_owned(),
            weight: 1.0,
            priority: u8::MAX,
            deadline_ms: DEFAULT_TIMEOUT_MS,
        });
    };
    let kind = text.request_kinds.iter().find(|kind| kind.name == name);
    kind.cloned()
        .ok_or_else(|| invalid(&format!("Request-Kind {name:?} does not exist")))
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(|text| Some(text.to_owned()))
        .map_err(|_| invalid(&format!("{name} must be printable ASCII")))
}

fn is_valid_key(key: &str) -> bool {
    let is_allowed_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(is_allowed_byte)
}
