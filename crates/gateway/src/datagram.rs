//! Encoding of messages between hosts as datagrams: CBOR, compressed above a size.

use crate::message::PeerMessage;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use snafu::Snafu;
use std::io::{Read, Write};

/// Size limit of a datagram, below the largest payload over UDP.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Size of an encoded message above which it is compressed.
const MIN_COMPRESSED_BYTES: usize = 1_000;
/// Size limit of a decompressed message.
const MAX_MESSAGE_BYTES: u64 = 1_000_000;
/// First byte of a compressed datagram. An encoded message is a CBOR map and never starts with it.
const COMPRESSED_MARK: u8 = 0;

/// `Error` is the reason for which a message cannot be sent or a datagram cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message could not be encoded.
    #[snafu(display("message not encoded: {cause}"))]
    Encode {
        /// Cause.
        cause: String,
    },
    /// The message does not fit into a datagram.
    #[snafu(display("message of {bytes} bytes too large for a datagram"))]
    TooLarge {
        /// Size after compression.
        bytes: usize,
    },
    /// The datagram is not a message.
    #[snafu(display("datagram not decoded: {cause}"))]
    Decode {
        /// Cause.
        cause: String,
    },
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns an error if the message is too large.
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, Error> {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded).map_err(encode_error)?;
    if encoded.len() >= MIN_COMPRESSED_BYTES {
        let mut encoder = DeflateEncoder::new(vec![COMPRESSED_MARK], Compression::fast());
        encoder.write_all(&encoded).map_err(encode_error)?;
        encoded = encoder.finish().map_err(encode_error)?;
    }
    if encoded.len() > MAX_DATAGRAM_BYTES {
        let bytes = encoded.len();
        return Err(Error::TooLarge { bytes });
    }
    Ok(encoded)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is no valid message, or a compressed one above the size limit.
pub fn decode(datagram: &[u8]) -> Result<PeerMessage, Error> {
    let Some((&COMPRESSED_MARK, compressed)) = datagram.split_first() else {
        return ciborium::from_reader(datagram).map_err(decode_error);
    };
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_MESSAGE_BYTES);
    decoder.read_to_end(&mut encoded).map_err(decode_error)?;
    ciborium::from_reader(encoded.as_slice()).map_err(decode_error)
}

fn encode_error(error: impl std::fmt::Display) -> Error {
    let cause = error.to_string();
    Error::Encode { cause }
}

fn decode_error(error: impl std::fmt::Display) -> Error {
    let cause = error.to_string();
    Error::Decode { cause }
}
