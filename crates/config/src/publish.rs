//! Publication: documents first, then the pointer by conditional update.

use crate::{
    check::check_documents,
    errors::{Error, Result},
    pointer::{ConfigPointer, HISTORY_LIMIT, HistoryRow, POINTER_NAME, PointerEntry},
    source::{ConfigDocument, SourceDocument},
};
use fighall_core::{
    clock::wall_millis,
    finding::SourcePosition,
    ids::{Generation, Version},
    secret::content_digest,
    value,
};
use fighall_store::{
    client::{StoreClient, WriteOutcome},
    object::kinds::{DOCUMENTS, POINTERS},
};
use std::collections::{BTreeMap, BTreeSet};

value! {
    /// `PublishOptions` describe one publication.
    #[derive(Default)]
    pub struct PublishOptions {
        /// Who publishes.
        pub author: String,
        /// Identifier of the publication; must be unique.
        pub publication: String,
        /// Generation that must be in force, when given.
        pub expected: Option<Generation>,
        /// Labels to remove.
        pub removed: Vec<String>,
    }
}

value! {
    /// `PublishReport` is what a publication changed.
    pub struct PublishReport {
        /// Generation now in force.
        pub generation: Generation,
        /// Labels that changed; empty when nothing had to be published.
        pub changed: Vec<String>,
    }
}

value! {
    /// `StoredPointer` is the pointer with its version in the store.
    #[derive(Default)]
    pub struct StoredPointer {
        /// The pointer.
        pub pointer: ConfigPointer,
        /// Its version, or none before the first publication.
        pub version: Option<Version>,
    }
}

/// Reads the pointer from the store.
///
/// # Errors
///
/// Returns an error when the store gives no usable answer.
pub async fn read_pointer(store: &StoreClient) -> Result<StoredPointer> {
    let Some(object) = store.get(POINTERS, POINTER_NAME).await? else {
        return Ok(StoredPointer::default());
    };
    let pointer =
        serde_json::from_str(&object.value).map_err(|error| Error::object(POINTER_NAME, error))?;
    Ok(StoredPointer {
        pointer,
        version: Some(object.version),
    })
}

/// Reads the documents of a pointer from the store.
///
/// # Errors
///
/// Returns an error when the store gives no usable answer or a document is missing.
pub async fn read_documents(
    store: &StoreClient,
    pointer: &ConfigPointer,
) -> Result<Vec<SourceDocument>> {
    let mut documents = Vec::new();
    for entry in &pointer.entries {
        let object = store.get(DOCUMENTS, &entry.digest).await?;
        let object = object.ok_or_else(|| Error::object(&entry.label, "it is missing"))?;
        let document: ConfigDocument = serde_json::from_str(&object.value)
            .map_err(|error| Error::object(&entry.label, error))?;
        let place = SourcePosition {
            file: format!("store:{}", entry.label),
            line: 1,
            column: 1,
        };
        documents.push(SourceDocument { place, document });
    }
    Ok(documents)
}

/// Publishes documents: they replace those of the same label, all others stay in force.
///
/// # Errors
///
/// Returns all findings of the resulting configuration, a conflict with another publication, or
/// the store's error. Nothing is in force unless the pointer moved.
pub async fn publish(
    store: &StoreClient,
    documents: Vec<SourceDocument>,
    options: &PublishOptions,
) -> Result<PublishReport> {
    let stored = read_pointer(store).await?;
    if let Some(expected) = options.expected
        && expected != stored.pointer.generation
    {
        return Err(conflict(
            expected,
            &stored.pointer,
            &ConfigPointer::default(),
        ));
    }
    let kept = kept_documents(store, &stored.pointer, &documents, options).await?;
    let mut all = documents;
    all.extend(kept);
    let findings = check_documents(&all);
    if !findings.is_empty() {
        return Err(findings.into_result::<()>(None).unwrap_err().into());
    }
    let texts = document_texts(&all)?;
    let next = next_pointer(&stored.pointer, &texts, options);
    let changed = next.changed_from(&stored.pointer);
    if changed.is_empty() {
        return Ok(PublishReport {
            generation: stored.pointer.generation,
            changed,
        });
    }
    write_documents(store, &stored.pointer, &texts).await?;
    move_pointer(store, &stored, &next).await?;
    Ok(PublishReport {
        generation: next.generation,
        changed,
    })
}

async fn kept_documents(
    store: &StoreClient,
    pointer: &ConfigPointer,
    documents: &[SourceDocument],
    options: &PublishOptions,
) -> Result<Vec<SourceDocument>> {
    let mut replaced: BTreeSet<String> = options.removed.iter().cloned().collect();
    for source in documents {
        replaced.insert(source.document.label());
    }
    let mut kept = pointer.clone();
    kept.entries
        .retain(|entry| !replaced.contains(&entry.label));
    read_documents(store, &kept).await
}

fn document_texts(documents: &[SourceDocument]) -> Result<BTreeMap<String, String>> {
    let mut texts = BTreeMap::new();
    for source in documents {
        let label = source.document.label();
        let text = serde_json::to_string(&source.document)
            .map_err(|error| Error::object(&label, error))?;
        texts.insert(label, text);
    }
    Ok(texts)
}

fn next_pointer(
    current: &ConfigPointer,
    texts: &BTreeMap<String, String>,
    options: &PublishOptions,
) -> ConfigPointer {
    let mut next = ConfigPointer {
        generation: current.generation + 1,
        publication: options.publication.clone(),
        entries: Vec::new(),
        history: Vec::new(),
    };
    for (label, text) in texts {
        next.entries.push(PointerEntry {
            label: label.clone(),
            digest: content_digest(text.as_bytes()),
        });
    }
    next.history.push(HistoryRow {
        generation: next.generation,
        publication: options.publication.clone(),
        published_at: wall_millis(),
        author: options.author.clone(),
        changed: next.changed_from(current),
    });
    let older = current.history.iter().take(HISTORY_LIMIT - 1);
    next.history.extend(older.cloned());
    next
}

async fn write_documents(
    store: &StoreClient,
    current: &ConfigPointer,
    texts: &BTreeMap<String, String>,
) -> Result<()> {
    for (label, text) in texts {
        let digest = content_digest(text.as_bytes());
        if current.digest_of(label) == Some(digest.as_str()) {
            continue;
        }
        // A document is named by its content, so that a conflict can only be with itself.
        store.create(DOCUMENTS, &digest, text).await?;
    }
    Ok(())
}

async fn move_pointer(
    store: &StoreClient,
    stored: &StoredPointer,
    next: &ConfigPointer,
) -> Result<()> {
    let text = serde_json::to_string(next).map_err(|error| Error::object(POINTER_NAME, error))?;
    let outcome = match stored.version {
        None => store.create(POINTERS, POINTER_NAME, &text).await?,
        Some(version) => store.put(POINTERS, POINTER_NAME, &text, version).await?,
    };
    let WriteOutcome::Conflict { current } = outcome else {
        return Ok(());
    };
    let current: ConfigPointer = current
        .and_then(|object| serde_json::from_str(&object.value).ok())
        .unwrap_or_default();
    // The pointer may already have moved on from this publication.
    let accepted = |row: &HistoryRow| row.publication == next.publication;
    if current.history.iter().any(accepted) {
        return Ok(());
    }
    Err(conflict(
        stored.pointer.generation,
        &current,
        &stored.pointer,
    ))
}

fn conflict(expected: Generation, current: &ConfigPointer, base: &ConfigPointer) -> Error {
    Error::Conflict {
        expected,
        current: current.generation,
        changed: current.changed_from(base).join(", "),
    }
}
