//! Mapping of store calls to HTTP requests.
//!
//! | Call | Request | Response |
//! | --- | --- | --- |
//! | get | `GET /v1/KIND/NAME` | 200 with the object, 404 |
//! | list, stale or not | `GET /v1/KIND` | 200 with the list |
//! | watch | `GET /v1/KIND?after=VERSION&wait_ms=N` | 200 with the changes, after at most N ms |
//! | create | `PUT /v1/KIND/NAME`, `If-None-Match: *` | 200 with the version, 412 |
//! | put | `PUT /v1/KIND/NAME`, `If-Match: VERSION` | 200 with the version, 412 |
//! | delete | `DELETE /v1/KIND/NAME`, `If-Match: VERSION` | 200 with the version, 412, 404 |
//!
//! Names are percent-encoded. Versions on the wire are revisions within the store's era, which responses carry in the header
//! `Fighall-Store-Era`.

use crate::{
    entries::{RawEntry, decode, decode_each},
    era::{StoreEra, revision_of},
    errors::Result,
    object::{ChangeBatch, ObjectList, StoreObject, WriteResponse},
    path::RequestPath,
};
use fighall_core::{ids::Version, value};
use http::{HeaderMap, Method};
use serde::Deserialize;
use std::time::Duration;

/// Response header that carries the store's era.
pub const ERA_HEADER: &str = "fighall-store-era";

/// Parses an era from a header; `None` if the header is missing or not a number.
pub fn read_era(headers: &HeaderMap, name: &str) -> Option<StoreEra> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// `StoreMapping` maps typed calls and their responses to one object API. Another API is supported by
/// another set of these functions.
#[derive(Clone, Copy, Debug)]
pub struct StoreMapping {
    /// Builds the HTTP request of a call.
    pub parts: fn(&StoreCall) -> RequestParts,
    /// Parses the store's era from the response headers, if present.
    pub era: fn(&HeaderMap) -> Option<StoreEra>,
    /// Decodes one object.
    pub object: fn(&[u8]) -> Result<StoreObject>,
    /// Decodes one page of a list.
    pub page: fn(&[u8]) -> Result<ListPage>,
    /// Decodes the changes returned by a watch.
    pub changes: fn(&[u8]) -> Result<ChangeBatch>,
    /// Decodes the version returned by a write.
    pub version: fn(&[u8]) -> Result<Version>,
}

impl Default for StoreMapping {
    fn default() -> Self {
        Self {
            parts: StoreCall::parts,
            era: |headers| read_era(headers, ERA_HEADER),
            object: decode,
            page,
            changes,
            version: |body| decode::<WriteResponse>(body).map(|response| response.version),
        }
    }
}

value! {
    /// `ListPage` is one page of a list.
    pub struct ListPage {
        /// Objects of the page, with the store's version when they were read.
        pub list: ObjectList,
        /// Whether further pages follow.
        pub has_more: bool,
    }
}

#[derive(Deserialize)]
struct RawPage {
    version: Version,
    objects: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct RawBatch {
    version: Version,
    compacted: bool,
    changes: Vec<RawEntry>,
}

fn page(body: &[u8]) -> Result<ListPage> {
    let page: RawPage = decode(body)?;
    let (objects, findings) = decode_each(&page.objects, |text| serde_json::from_str(text));
    let list = ObjectList {
        version: page.version,
        objects,
        findings,
        ..ObjectList::default()
    };
    Ok(ListPage {
        list,
        has_more: false,
    })
}

fn changes(body: &[u8]) -> Result<ChangeBatch> {
    let batch: RawBatch = decode(body)?;
    let (changes, findings) = decode_each(&batch.changes, |text| serde_json::from_str(text));
    Ok(ChangeBatch {
        version: batch.version,
        compacted: batch.compacted,
        changes,
        findings,
    })
}

value! {
    /// `StoreCall` is one call to the store.
    pub enum StoreCall {
        /// Reads one object.
        Get {
            /// Kind of the object.
            kind: String,
            /// Name of the object within its kind.
            name: String,
        },
        /// Reads all objects of a kind.
        List {
            /// Kind of the object.
            kind: String,
            /// Name after which the page starts; `None` for the first page.
            after: Option<String>,
            /// Whether a slightly stale result is allowed, if the API has a cheaper call for that.
            stale: bool,
        },
        /// Waits for changes of a kind.
        Watch {
            /// Kind of the object.
            kind: String,
            /// Version after which changes are returned.
            after: Version,
            /// Time limit for waiting on the store's side.
            wait: Duration,
        },
        /// Writes an object that must not exist.
        Create {
            /// Kind of the object.
            kind: String,
            /// Name of the object within its kind.
            name: String,
            /// Value as text.
            value: String,
        },
        /// Writes an object that must be at a version.
        Put {
            /// Kind of the object.
            kind: String,
            /// Name of the object within its kind.
            name: String,
            /// Value as text.
            value: String,
            /// Version that the object must be at.
            expected: Version,
        },
        /// Deletes an object that must be at a version.
        Delete {
            /// Kind of the object.
            kind: String,
            /// Name of the object within its kind.
            name: String,
            /// Version that the object must be at.
            expected: Version,
        },
    }
}

value! {
    /// `RequestParts` is the HTTP request of a call.
    pub struct RequestParts {
        /// Method.
        pub method: Method,
        /// Path and query.
        pub path_and_query: String,
        /// Precondition; `None` for reads.
        pub precondition: Option<CallPrecondition>,
        /// Body.
        pub body: String,
    }
}

value! {
    /// `CallPrecondition` is the header that makes a write conditional.
    pub struct CallPrecondition {
        /// Header name.
        pub header: String,
        /// Header value.
        pub value: String,
    }
}

impl StoreCall {
    /// Returns the version that the call depends on, if any.
    pub fn base_version(&self) -> Option<Version> {
        match self {
            Self::Get { .. } | Self::List { .. } | Self::Create { .. } => None,
            Self::Watch { after, .. } => Some(*after),
            Self::Put { expected, .. } | Self::Delete { expected, .. } => Some(*expected),
        }
    }

    /// Returns the name of the operation, as used in metrics.
    pub fn operation(&self) -> String {
        let name = match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Create { .. } => "create",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
        };
        name.to_owned()
    }

    /// Builds the HTTP request of the call.
    pub fn parts(&self) -> RequestParts {
        match self {
            Self::Get { kind, name } => RequestParts::new(Method::GET, object_path(kind, name)),
            Self::List { kind, .. } => RequestParts::new(Method::GET, kind_path(kind)),
            Self::Watch { kind, after, wait } => {
                let path = kind_path(kind)
                    .with_parameter("after", &revision_of(*after).to_string())
                    .with_parameter("wait_ms", &wait.as_millis().to_string());
                RequestParts::new(Method::GET, path)
            }
            Self::Create { kind, name, value } => {
                RequestParts::new(Method::PUT, object_path(kind, name))
                    .with_precondition("if-none-match", "*")
                    .with_body(value)
            }
            Self::Put {
                kind,
                name,
                value,
                expected,
            } => RequestParts::new(Method::PUT, object_path(kind, name))
                .with_precondition("if-match", &revision_of(*expected).to_string())
                .with_body(value),
            Self::Delete {
                kind,
                name,
                expected,
            } => RequestParts::new(Method::DELETE, object_path(kind, name))
                .with_precondition("if-match", &revision_of(*expected).to_string()),
        }
    }
}

fn kind_path(kind: &str) -> RequestPath {
    RequestPath::new("/v1").with_segment(kind)
}

fn object_path(kind: &str, name: &str) -> RequestPath {
    kind_path(kind).with_segment(name)
}

impl RequestParts {
    /// Creates a request without precondition and body.
    pub fn new(method: Method, path: RequestPath) -> Self {
        Self {
            method,
            path_and_query: path.into_text(),
            precondition: None,
            body: String::new(),
        }
    }

    fn with_precondition(mut self, header: &str, value: &str) -> Self {
        self.precondition = Some(CallPrecondition {
            header: header.to_owned(),
            value: value.to_owned(),
        });
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }
}
