//! Findings: what is wrong with a document, each with its place, reported together.

use crate::message;
use std::fmt;

message! {
    /// `SourcePlace` is a position in a file.
    pub struct SourcePlace {
        /// Path of the file as it was named.
        pub file: String,
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
    }
}

message! {
    /// `SourceFinding` is one thing that is wrong at one place.
    pub struct SourceFinding {
        /// Where it is.
        pub place: SourcePlace,
        /// What is wrong, in one sentence.
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
    /// `FindingList` collects the findings of one run.
    #[derive(Default)]
    pub struct FindingList {
        /// The findings in the order they were met.
        pub findings: Vec<SourceFinding>,
    }
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, place: SourcePlace, message: impl Into<String>) {
        self.findings.push(SourceFinding {
            place,
            message: message.into(),
        });
    }

    /// Adds all findings of another list.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Gives the value when nothing was found, else the list, sorted by place.
    ///
    /// # Errors
    ///
    /// Returns the list itself when it is not empty.
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
