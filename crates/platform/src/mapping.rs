//! Mapping of the store's calls to HTTP.
//!
//! | Call | Request | Answer |
//! | --- | --- | --- |
//! | get | `GET /v1/KIND/NAME` | 200 with the object, 404 |
//! | list | `GET /v1/KIND` | 200 with the list |
//! | watch | `GET /v1/KIND?after=VERSION&wait_ms=N` | 200 with the changes, after at most N ms |
//! | create | `PUT /v1/KIND/NAME`, `If-None-Match: *` | 200 with the version, 412 |
//! | put | `PUT /v1/KIND/NAME`, `If-Match: VERSION` | 200 with the version, 412 |
//! | delete | `DELETE /v1/KIND/NAME`, `If-Match: VERSION` | 200 with the version, 412, 404 |

use fighall_core::{ids::Version, value};
use http::Method;
use std::time::Duration;

value! {
    /// `StoreCall` is one call to the store.
    pub enum StoreCall {
        /// Reads one object.
        Get {
            /// Kind.
            kind: String,
            /// Name.
            name: String,
        },
        /// Reads all objects of a kind.
        List {
            /// Kind.
            kind: String,
        },
        /// Waits for changes of a kind.
        Watch {
            /// Kind.
            kind: String,
            /// Version after which changes are wanted.
            after: Version,
            /// Longest wait.
            wait: Duration,
        },
        /// Writes an object that must not exist.
        Create {
            /// Kind.
            kind: String,
            /// Name.
            name: String,
            /// Value.
            value: String,
        },
        /// Writes an object that must be at a version.
        Put {
            /// Kind.
            kind: String,
            /// Name.
            name: String,
            /// Value.
            value: String,
            /// Version expected.
            expected: Version,
        },
        /// Deletes an object that must be at a version.
        Delete {
            /// Kind.
            kind: String,
            /// Name.
            name: String,
            /// Version expected.
            expected: Version,
        },
    }
}

value! {
    /// `CallParts` is a call as the parts of an HTTP request.
    pub struct CallParts {
        /// Method.
        pub method: Method,
        /// Path and query.
        pub target: String,
        /// Condition as header name and value.
        pub condition: Option<CallCondition>,
        /// Body.
        pub body: String,
    }
}

value! {
    /// `CallCondition` is the header that makes a write conditional.
    pub struct CallCondition {
        /// Header name.
        pub header: String,
        /// Header value.
        pub value: String,
    }
}

impl StoreCall {
    /// Gets the name of the operation, as counted in metrics.
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

    /// Gets the parts of the call's HTTP request.
    pub fn parts(&self) -> CallParts {
        match self {
            Self::Get { kind, name } => CallParts::new(Method::GET, format!("/v1/{kind}/{name}")),
            Self::List { kind } => CallParts::new(Method::GET, format!("/v1/{kind}")),
            Self::Watch { kind, after, wait } => CallParts::new(
                Method::GET,
                format!("/v1/{kind}?after={after}&wait_ms={}", wait.as_millis()),
            ),
            Self::Create { kind, name, value } => {
                CallParts::new(Method::PUT, format!("/v1/{kind}/{name}"))
                    .with_condition("if-none-match", "*")
                    .with_body(value)
            }
            Self::Put {
                kind,
                name,
                value,
                expected,
            } => CallParts::new(Method::PUT, format!("/v1/{kind}/{name}"))
                .with_condition("if-match", &expected.to_string())
                .with_body(value),
            Self::Delete {
                kind,
                name,
                expected,
            } => CallParts::new(Method::DELETE, format!("/v1/{kind}/{name}"))
                .with_condition("if-match", &expected.to_string()),
        }
    }
}

impl CallParts {
    fn new(method: Method, target: String) -> Self {
        Self {
            method,
            target,
            condition: None,
            body: String::new(),
        }
    }

    fn with_condition(mut self, header: &str, value: &str) -> Self {
        self.condition = Some(CallCondition {
            header: header.to_owned(),
            value: value.to_owned(),
        });
        self
    }

    fn with_body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }
}
