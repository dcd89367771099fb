//! Request targets of calls: segments of the path and parameters of the query, percent-encoded.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded: all but the unreserved ones (RFC 3986, section 2.3).
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// `RequestTarget` is the path and the query of a call.
///
/// ```
/// use fighall_store::target::RequestTarget;
///
/// let target = RequestTarget::new("/v1").with_segment("hosts").with_parameter("after", "a&b");
/// assert_eq!(target.into_text(), "/v1/hosts?after=a%26b");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTarget {
    path: String,
    query: String,
}

impl RequestTarget {
    /// Creates a target with a path that is used as it is.
    pub fn new(path: &str) -> Self {
        Self {
            path: path.to_owned(),
            query: String::new(),
        }
    }

    /// Adds a segment to the path.
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

    /// Returns the path and the query as text.
    pub fn into_text(self) -> String {
        self.path + &self.query
    }
}
