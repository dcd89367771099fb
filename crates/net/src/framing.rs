//! Framing of pipelined requests: finds where each request ends in the bytes of a connection (RFC 9112,
//! section 6).

use crate::{announced::AnnouncedLength, listener::MAX_HEADERS};
use http::{
    HeaderName, HeaderValue, Method, Request, Version,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};
use httparse::Status;

/// `RequestFrame` is the length of one request in the bytes of a connection, with the properties that
/// pipelining needs.
#[derive(Debug, Clone, Copy)]
pub struct RequestFrame {
    /// Length of the head in bytes, with the empty line after it.
    pub head_length: usize,
    /// Length of the body in bytes; 0 for a chunked body.
    pub body_length: u64,
    /// Whether the length is announced in another way than with one field that all parsers interpret alike.
    pub has_ambiguous_length: bool,
    /// Whether the body is chunked.
    pub is_chunked: bool,
    /// Whether the method is safe (RFC 9110, section 9.2.1).
    pub is_safe: bool,
    /// Whether the connection closes after the response to this request.
    pub closes_connection: bool,
}

/// `FrameResult` is the result of parsing the next bytes of a connection.
#[derive(Debug, Clone, Copy)]
pub enum FrameResult {
    /// An incomplete head.
    Partial,
    /// A complete head.
    Complete(RequestFrame),
    /// A malformed or too large head, or one that doesn't determine where its request ends.
    Unframed,
}

impl RequestFrame {
    /// Tells whether the request may run concurrently with others on its connection: its method is safe,
    /// and it has no body that would have to be read first (RFC 9112, section 9.3.2).
    pub fn may_run_concurrently(&self) -> bool {
        self.is_safe && self.body_length == 0 && !self.is_chunked
    }
}

/// Parses the head at the start of `bytes`, of at most `max_head_bytes`, and determines where its request ends.
pub fn parse_frame(bytes: &[u8], max_head_bytes: usize) -> FrameResult {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(length)) => {
            determine_frame(&parsed, length).map_or(FrameResult::Unframed, FrameResult::Complete)
        }
        Ok(Status::Partial) if bytes.len() < max_head_bytes => FrameResult::Partial,
        Ok(Status::Partial) | Err(_) => FrameResult::Unframed,
    }
}

/// Parses the complete head at the start of `bytes`, or returns nothing if it is incomplete or
/// malformed.
pub fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if parsed.parse(bytes).ok()?.is_partial() {
        return None;
    }
    let mut parts = Request::new(()).into_parts().0;
    parts.method = parsed.method?.parse().ok()?;
    parts.uri = parsed.path?.parse().ok()?;
    parts.version = version(&parsed);
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}

/// Writes the complete head at the start of `bytes` anew, with one field for a body of `body_length`. It is no longer
/// than before. Returns nothing if the head is malformed.
pub fn with_single_length(bytes: &[u8], body_length: u64) -> Option<Vec<u8>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(bytes).ok()?;
    let (method, path) = (parsed.method?, parsed.path?);
    let mut head = format!("{method} {path} {:?}\r\n", version(&parsed)).into_bytes();
    for header in parsed.headers.iter() {
        if !header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()) {
            let line = [header.name.as_bytes(), b":", header.value, b"\r\n"];
            head.extend(line.concat());
        }
    }
    head.extend(format!("{CONTENT_LENGTH}:{body_length}\r\n\r\n").as_bytes());
    Some(head)
}

fn version(parsed: &httparse::Request<'_, '_>) -> Version {
    match parsed.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    }
}

fn determine_frame(parsed: &httparse::Request<'_, '_>, head_length: usize) -> Option<RequestFrame> {
    let method: Method = parsed.method?.parse().ok()?;
    let mut announced = AnnouncedLength::default();
    let mut is_chunked = false;
    let mut closes_connection = version(parsed) != Version::HTTP_11;
    for header in parsed.headers.iter() {
        let is_header = |name: &HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if is_header(&UPGRADE) {
            return None;
        }
        let text = std::str::from_utf8(header.value);
        if is_header(&TRANSFER_ENCODING) {
            let encoding = text.ok()?.trim();
            if is_chunked || !encoding.eq_ignore_ascii_case("chunked") {
                return None;
            }
            is_chunked = true;
        } else if is_header(&CONTENT_LENGTH) {
            announced.add_field(text.ok()?)?;
        } else if is_header(&CONNECTION) {
            let mut options = text.ok()?.split(',');
            closes_connection |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
        }
    }
    // The end of such a request is not certain (RFC 9112, sections 6.1 and 6.3).
    let is_old = version(parsed) != Version::HTTP_11;
    if is_chunked && (is_old || announced.is_present()) {
        return None;
    }
    (method != Method::CONNECT).then_some(RequestFrame {
        head_length,
        body_length: announced.bytes(),
        has_ambiguous_length: announced.is_ambiguous(),
        is_chunked,
        is_safe: method.is_safe(),
        closes_connection,
    })
}
