/// First 8 bytes of a blake3 digest over the parts. Each part is preceded by its length, so that
/// moving bytes from one part to the next changes the digest.
///
/// ```
/// use toucanring::core::retry::digest_parts;
///
/// assert_ne!(digest_parts(&[b"a", b"bc"]), digest_parts(&[b"ab", b"c"]));
/// ```
#[must_use]
pub fn digest_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
