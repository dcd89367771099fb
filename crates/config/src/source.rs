//! Documents as files: which kind a file holds, and where its items stand.

use crate::{
    blocks::{BLOCKS_TABLE, BlocksDocument},
    fleet::{FLEET_TABLE, FleetDocument},
    service::{SERVICE_TABLE, ServiceDocument},
};
use fighall_core::{
    document::{SourceText, peek_text},
    finding::{FindingList, SourcePosition},
    message, value,
};

message! {
    /// `ConfigDocument` is one document of the configuration.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum ConfigDocument {
        /// What all services share.
        Fleet(FleetDocument),
        /// One service.
        Service(ServiceDocument),
        /// Client blocks.
        Blocks(BlocksDocument),
    }
}

impl ConfigDocument {
    /// Gets the name under which the pointer lists the document, such as `service/quote-desk`.
    pub fn label(&self) -> String {
        match self {
            Self::Fleet(_) => "fleet".to_owned(),
            Self::Service(service) => format!("service/{}", service.name),
            Self::Blocks(blocks) => format!("blocks/{}", blocks.name),
        }
    }
}

value! {
    /// `SourceDocument` is a document with the file it came from.
    pub struct SourceDocument {
        /// Place of the document's start, for findings over several documents.
        pub place: SourcePosition,
        /// The document.
        pub document: ConfigDocument,
    }
}

/// Reads one file.
///
/// # Errors
///
/// Returns all findings with their places.
pub fn read_document(file: &str, text: &str) -> Result<SourceDocument, FindingList> {
    let source = SourceText::new(file, text);
    let document = match peek_text(text, "kind").as_deref() {
        Some("fleet") => source
            .read(&FLEET_TABLE, FleetDocument::read)
            .map(ConfigDocument::Fleet),
        Some("blocks") => source
            .read(&BLOCKS_TABLE, BlocksDocument::read)
            .map(ConfigDocument::Blocks),
        Some("service") => source
            .read(&SERVICE_TABLE, ServiceDocument::read)
            .map(ConfigDocument::Service),
        Some(other) => Err(one_finding(
            file,
            format!("`kind` is `{other}`; it must be `fleet`, `service` or `blocks`"),
        )),
        // Reading as a service reports the syntax error or the missing field with its place.
        None => source
            .read(&SERVICE_TABLE, ServiceDocument::read)
            .map(ConfigDocument::Service),
    }?;
    Ok(SourceDocument {
        place: start_of(file),
        document,
    })
}

fn start_of(file: &str) -> SourcePosition {
    SourcePosition {
        file: file.to_owned(),
        line: 1,
        column: 1,
    }
}

fn one_finding(file: &str, message: String) -> FindingList {
    let mut list = FindingList::new();
    list.push(start_of(file), message);
    list
}
