//! Findings: errors in a document with their positions, reported together.

use crate::message;
use std::fmt;

message! {
    /// `SourcePosition` is a position in a file.
    pub struct SourcePosition {
        /// Path of the file as given by the user or the caller.
        pub file: String,
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
    }
}

message! {
    /// `SourceFinding` is an error at one position of a file.
    pub struct SourceFinding {
        /// Position of the error.
        pub place: SourcePosition,
        /// Description of the error.
        pub message: String,
    }
}

impl fmt::Display for SourceFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = &self.place;
        write!(
            f,
            "{}:{}:{}: {}",
            place.file, place.line, place.column, self.message
        )
    }
}

message! {
    /// `FindingList` holds the findings of one check.
    #[derive(Default)]
    pub struct FindingList {
        /// The findings in the order in which they were added, or sorted by
        /// [`FindingList::into_result`].
        pub findings: Vec<SourceFinding>,
    }
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, place: SourcePosition, message: impl Into<String>) {
        self.findings.push(SourceFinding {
            place,
            message: message.into(),
        });
    }

    /// Adds all findings of another list.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Tells whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the value if there is one and the list is empty, else the list, sorted by position.
    ///
    /// # Errors
    ///
    /// Returns the sorted list if it has findings, or if there is no value.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, FindingList> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => {
                self.findings.sort_by(|a, b| {
                    let key =
                        |f: &SourceFinding| (f.place.file.clone(), f.place.line, f.place.column);
                    key(a).cmp(&key(b))
                });
                Err(self)
            }
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
