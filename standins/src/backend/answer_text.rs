use super::ChatRequest;

// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Digest of the parts of a request that determine its answer: model, messages and `max_tokens`.
/// `stream` is left out, so a streamed and a buffered request get the same answer.
#[must_use]
pub fn answer_digest(request: &ChatRequest) -> u64 {
    let text = format!(
        "{}\n{}\n{}",
        request.model, request.messages, request.max_tokens
    );
    text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Token `index`, from 0, of the answer to the request with this digest.
///
/// ```
/// assert_eq!(standins::backend::answer_token(0xff, 2), "00000000000000ff.2 ");
/// ```
#[must_use]
pub fn answer_token(digest: u64, index: u32) -> String {
    format!("{digest:016x}.{index} ")
}

/// Complete answer to a request. Tests compare it with what a caller received.
#[must_use]
pub fn answer_text(request: &ChatRequest) -> String {
    let digest = answer_digest(request);
    (0..request.max_tokens)
        .map(|index| answer_token(digest, index))
        .collect()
}
