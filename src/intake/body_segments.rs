/// Size of the first segment of a body in bytes.
const FIRST_SEGMENT: usize = 4 * 1024;

/// Largest size of a segment in bytes. A stalled body takes at most this much more than it has.
const MAX_SEGMENT: usize = 64 * 1024;

/// Bytes of an unfinished body, copied from the buffers in which they arrived: a piece of one byte
/// would keep the whole buffer of its read otherwise.
#[derive(Debug, Default)]
pub(super) struct BodySegments {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl BodySegments {
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Bytes for which there is room in the last segment.
    pub fn room(&self) -> usize {
        let last = self.segments.last();
        last.map_or(0, |segment| segment.capacity() - segment.len())
    }

    /// Size of the next segment of a body that is at most `left` bytes longer.
    pub fn next_size(&self, left: usize) -> usize {
        let last = self.segments.last();
        let size = last.map_or(FIRST_SEGMENT, |segment| segment.capacity() * 2);
        size.min(MAX_SEGMENT).min(left)
    }

    pub fn add_segment(&mut self, size: usize) {
        self.segments.push(Vec::with_capacity(size));
    }

    /// Copies as many bytes as there is room for; returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.room());
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(&bytes[..count]);
        }
        self.length += count;
        count
    }

    /// Joins the segments, each of which is freed as soon as it is copied.
    pub fn join(self) -> Vec<u8> {
        let mut segments = self.segments.into_iter();
        if segments.len() == 1 {
            let mut only = segments.next().unwrap_or_default();
            only.shrink_to_fit();
            return only;
        }
        let mut joined = Vec::with_capacity(self.length);
        for segment in segments {
            joined.extend_from_slice(&segment);
        }
        joined
    }
}
