//! Scanning of chunked bodies: finds where a body ends in the bytes of a connection (RFC 9112, section 7.1).

/// Largest number of digits of a chunk's size, with leading zeros.
const MAX_SIZE_DIGITS: u32 = 100;
/// Largest number of bytes of a chunk extension or of a trailer line.
const MAX_LINE_BYTES: u64 = 4_096;

/// `ScanResult` is the result of scanning the next bytes of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScanResult {
    /// All bytes belong to the body, which continues.
    Partial,
    /// The body ends after this number of bytes.
    Complete(usize),
    /// The bytes are not a chunked body.
    Malformed,
    /// The announced sizes exceed the limit with the digit behind this number of bytes.
    TooLarge(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScanState {
    Size { size: u64, digits: u32 },
    Extension { size: u64, length: u64 },
    SizeEnd { size: u64 },
    Data { left: u64 },
    DataEnd,
    DataLineEnd,
    Trailer { length: u64 },
    TrailerEnd { length: u64 },
}

/// `ChunkScanner` is the position in a chunked body whose bytes arrive in segments.
#[derive(Debug)]
pub struct ChunkScanner {
    state: ScanState,
    // Sum of the sizes of the chunks before the current one, which is within the limit.
    announced_bytes: u64,
}

impl Default for ChunkScanner {
    fn default() -> Self {
        Self {
            state: ScanState::Size { size: 0, digits: 0 },
            announced_bytes: 0,
        }
    }
}

impl ChunkScanner {
    /// Scans the next bytes of a body whose chunks have at most `max_bytes` together.
    pub fn scan(&mut self, bytes: &[u8], max_bytes: u64) -> ScanResult {
        let mut position = 0;
        while let Some(byte) = bytes.get(position) {
            if let ScanState::Data { left } = &mut self.state {
                let available = bytes.len() - position;
                let skipped = usize::try_from(*left).map_or(available, |left| left.min(available));
                *left -= u64::try_from(skipped).unwrap_or(0);
                position += skipped;
                if *left == 0 {
                    self.state = ScanState::DataEnd;
                }
                continue;
            }
            position += 1;
            if self.state == (ScanState::TrailerEnd { length: 0 }) && *byte == b'\n' {
                return ScanResult::Complete(position);
            }
            let Some(state) = next_state(self.state, *byte) else {
                return ScanResult::Malformed;
            };
            if let ScanState::Size { size, .. } = state
                && size > max_bytes.saturating_sub(self.announced_bytes)
            {
                return ScanResult::TooLarge(position - 1);
            }
            if let ScanState::Data { left } = state {
                self.announced_bytes += left;
            }
            self.state = state;
        }
        ScanResult::Partial
    }
}

// Gets the state after a byte outside of chunk data; none if the byte is not allowed.
fn next_state(state: ScanState, byte: u8) -> Option<ScanState> {
    let next = match (state, byte) {
        (ScanState::Size { size, digits }, _) if byte.is_ascii_hexdigit() => {
            let digit = char::from(byte).to_digit(16)?;
            let size = size.saturating_mul(16).saturating_add(u64::from(digit));
            let digits = digits + 1;
            return (digits <= MAX_SIZE_DIGITS).then_some(ScanState::Size { size, digits });
        }
        (ScanState::Size { digits: 0, .. }, _) => return None,
        (ScanState::Size { size, .. }, b'\r') => ScanState::SizeEnd { size },
        (ScanState::Size { size, .. }, b';' | b' ' | b'\t') => {
            ScanState::Extension { size, length: 0 }
        }
        (ScanState::Extension { size, .. }, b'\r') => ScanState::SizeEnd { size },
        (ScanState::Extension { .. }, b'\n') => return None,
        (ScanState::Extension { size, length }, _) if length < MAX_LINE_BYTES => {
            let length = length + 1;
            ScanState::Extension { size, length }
        }
        (ScanState::SizeEnd { size: 0 }, b'\n') => ScanState::Trailer { length: 0 },
        (ScanState::SizeEnd { size }, b'\n') => ScanState::Data { left: size },
        (ScanState::DataEnd, b'\r') => ScanState::DataLineEnd,
        (ScanState::DataLineEnd, b'\n') => ScanState::Size { size: 0, digits: 0 },
        (ScanState::Trailer { length }, b'\r') => ScanState::TrailerEnd { length },
        (ScanState::Trailer { .. }, b'\n') => return None,
        (ScanState::Trailer { length }, _) if length < MAX_LINE_BYTES => {
            let length = length + 1;
            ScanState::Trailer { length }
        }
        (ScanState::TrailerEnd { .. }, b'\n') => ScanState::Trailer { length: 0 },
        _ => return None,
    };
    Some(next)
}
