//! Names of the headers that fighall sets, and removal of headers that must not be forwarded.

use http::{
    HeaderMap, HeaderName, HeaderValue, Uri,
    header::{
        AUTHORIZATION, CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    uri::PathAndQuery,
};

/// Prefix of all headers that fighall sets. Headers with this prefix are removed from callers' requests.
pub const FIGHALL_PREFIX: &str = "fighall-";
/// Header with the request's identifier.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("fighall-request");
/// Header with the organisation that the request's key belongs to.
pub const ORGANISATION_HEADER: HeaderName = HeaderName::from_static("fighall-organisation");
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("fighall-deadline-ms");
/// Header of a response to a request that did not run, with the value `no`. Targets that shed load send
/// it too.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("fighall-run");
/// Header with the proof that a forwarded request comes from an entry host.
pub const FLEET_HEADER: HeaderName = HeaderName::from_static("fighall-fleet");
/// Header with the service of a forwarded request.
pub const SERVICE_HEADER: HeaderName = HeaderName::from_static("fighall-service");
/// Header with the region that forwarded the request.
pub const REGION_HEADER: HeaderName = HeaderName::from_static("fighall-region");
/// Header with the host that responded to the caller.
pub const HOST_HEADER: HeaderName = HeaderName::from_static("fighall-host");
/// Header in which a caller may send its API key, besides `authorization`.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
/// Header with a caller's idempotency key, which makes a request idempotent.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Gets the API key from `authorization` with the bearer scheme, or else from [`KEY_HEADER`].
pub fn presented_key(headers: &HeaderMap) -> Option<String> {
    if let Some(value) = headers.get(AUTHORIZATION) {
        let text = value.to_str().ok()?;
        let (scheme, key) = text.split_once(' ')?;
        if scheme.eq_ignore_ascii_case("bearer") {
            return Some(key.trim().to_owned());
        }
    }
    let value = headers.get(&KEY_HEADER)?;
    Some(value.to_str().ok()?.trim().to_owned())
}

/// Removes hop-by-hop headers, also those that `connection` lists (RFC 9110, section 7.6.1).
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let mut listed_names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            listed_names.extend(name.trim().parse::<HeaderName>());
        }
    }
    for name in listed_names {
        headers.remove(name);
    }
    let hop_by_hop = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in hop_by_hop {
        headers.remove(name);
    }
}

/// Removes all headers with [`FIGHALL_PREFIX`], so that a caller cannot forge them.
pub fn remove_fighall_headers(headers: &mut HeaderMap) {
    let names: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(FIGHALL_PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes the headers that carry keys, and any other header that contains a copy of the key.
pub fn remove_key(headers: &mut HeaderMap, key: Option<&str>) {
    headers.remove(AUTHORIZATION);
    headers.remove(&KEY_HEADER);
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return;
    };
    let names_with_key: Vec<_> = headers
        .iter()
        .filter(|(_, value)| contains(value.as_bytes(), key.as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names_with_key {
        headers.remove(name);
    }
}

/// Gets the path and query without the parameters that contain the key, plain or percent-encoded.
pub fn path_without_key(uri: &Uri, key: Option<&str>) -> PathAndQuery {
    let path_and_query = uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let (Some(key), Some(query)) = (key.filter(|key| !key.is_empty()), uri.query()) else {
        return path_and_query;
    };
    let parameters: Vec<_> = query
        .split('&')
        .filter(|pair| !contains(&percent_decoded(pair), key.as_bytes()))
        .collect();
    let text = if parameters.is_empty() {
        uri.path().to_owned()
    } else {
        format!("{}?{}", uri.path(), parameters.join("&"))
    };
    text.parse().unwrap_or(path_and_query)
}

/// Tells whether a text arrives unchanged as a header value: it is not empty, has no control characters and no blank at
/// either end.
pub fn is_sendable(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && HeaderValue::from_str(text).is_ok()
}

/// Sets a header, unless the text is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}

fn contains(text: &[u8], pattern: &[u8]) -> bool {
    text.windows(pattern.len()).any(|window| window == pattern)
}

fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    decoded
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn headers_and_parameters_with_the_key_are_removed() {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_static("Bearer fk_abc"));
        headers.insert("x-copy", HeaderValue::from_static("my fk_abc here"));
        headers.insert("x-other", HeaderValue::from_static("kept"));
        let key = presented_key(&headers);
        assert_eq!(key.as_deref(), Some("fk_abc"));
        remove_key(&mut headers, key.as_deref());
        assert_eq!(headers.len(), 1);
        let uri: Uri = "/a?x=1&key=fk%5Fabc&y=2&k=fk_abc".parse().unwrap();
        assert_eq!(
            path_without_key(&uri, key.as_deref()).as_str(),
            "/a?x=1&y=2"
        );
    }

    #[test]
    fn hop_by_hop_and_fighall_headers_are_removed() {
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close, X-Hop"));
        headers.insert("x-hop", HeaderValue::from_static("1"));
        headers.insert("fighall-organisation", HeaderValue::from_static("forged"));
        headers.insert("accept", HeaderValue::from_static("*/*"));
        remove_hop_by_hop(&mut headers);
        remove_fighall_headers(&mut headers);
        assert_eq!(headers.len(), 1);
    }
}
