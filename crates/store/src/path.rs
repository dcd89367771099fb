//! Paths and queries of calls, percent-encoded.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded: all but the unreserved ones (RFC 3986, section 2.3).
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// `RequestPath` is the path of a request with its query.
///
/// ```
/// use fighall_store::path::RequestPath;
///
/// let path = RequestPath::new("/v1").with_segment("hosts").with_parameter("after", "a&b");
/// assert_eq!(path.into_text(), "/v1/hosts?after=a%26b");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPath {
    path: String,
    query: String,
}

impl RequestPath {
    /// Creates a path that starts with `prefix`, which is not encoded.
    pub fn new(prefix: &str) -> Self {
        Self {
            path: prefix.to_owned(),
            query: String::new(),
        }
    }

    /// Adds a segment.
    pub fn with_segment(mut self, segment: &str) -> Self {
        self.path.push('/');
        self.path.extend(utf8_percent_encode(segment, ENCODED));
        self
    }

    /// Adds a parameter to the query.
    pub fn with_parameter(mut self, name: &str, value: &str) -> Self {
        self.query
            .push(if self.query.is_empty() { '?' } else { '&' });
        self.query.extend(utf8_percent_encode(name, ENCODED));
        self.query.push('=');
        self.query.extend(utf8_percent_encode(value, ENCODED));
        self
    }

    /// Returns the path with its query.
    pub fn into_text(self) -> String {
        self.path + &self.query
    }
}
