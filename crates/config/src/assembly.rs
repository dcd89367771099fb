//! Assembly of the configuration in force from the pointer and its documents.
//!
//! Only a higher generation is ever taken, whatever the store or a peer answers.

use crate::{
    blocks::ClientBlock,
    errors::{Error, Result},
    fleet::FleetDocument,
    pointer::ConfigPointer,
    service::ServiceDocument,
    source::ConfigDocument,
};
use fighall_core::{
    ids::{Generation, ServiceId},
    secret::content_digest,
    value,
};
use std::{collections::BTreeMap, rc::Rc};

value! {
    /// `FleetConfig` is a configuration in force.
    pub struct FleetConfig {
        /// Generation.
        pub generation: Generation,
        /// What all services share.
        pub fleet: FleetDocument,
        /// Services by name.
        pub services: BTreeMap<ServiceId, ServiceDocument>,
        /// Client blocks of all documents.
        pub blocks: Vec<ClientBlock>,
    }
}

/// `ConfigAssembly` holds the pointer in force and the texts of its documents.
#[derive(Debug, Default)]
pub struct ConfigAssembly {
    pointer: ConfigPointer,
    texts: BTreeMap<String, String>,
    config: Option<Rc<FleetConfig>>,
}

impl ConfigAssembly {
    /// Creates an assembly without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gets the pointer in force.
    pub fn pointer(&self) -> &ConfigPointer {
        &self.pointer
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.clone()
    }

    /// Gets the text of a document that is held.
    pub fn text(&self, digest: &str) -> Option<&str> {
        self.texts.get(digest).map(String::as_str)
    }

    /// Tells whether a pointer is newer than the one in force.
    pub fn is_newer(&self, pointer: &ConfigPointer) -> bool {
        pointer.generation > self.pointer.generation
    }

    /// Lists the digests that must be fetched before a pointer can be applied.
    pub fn missing(&self, pointer: &ConfigPointer) -> Vec<String> {
        let mut missing = Vec::new();
        for entry in &pointer.entries {
            if !self.texts.contains_key(&entry.digest) {
                missing.push(entry.digest.clone());
            }
        }
        missing
    }

    /// Applies a pointer with the documents fetched for it. Returns nothing when the pointer is
    /// not newer than the one in force.
    ///
    /// # Errors
    ///
    /// Returns an error when a document is missing, has another digest or cannot be read; the
    /// configuration in force stays.
    pub fn apply(
        &mut self,
        pointer: ConfigPointer,
        fetched: BTreeMap<String, String>,
    ) -> Result<Option<Rc<FleetConfig>>> {
        if !self.is_newer(&pointer) {
            return Ok(None);
        }
        let mut texts = BTreeMap::new();
        for entry in &pointer.entries {
            let digest = &entry.digest;
            let text = fetched.get(digest).or_else(|| self.texts.get(digest));
            let text =
                text.ok_or_else(|| Error::object(&entry.label, "the document is missing"))?;
            if content_digest(text.as_bytes()) != *digest {
                return Err(Error::Digest {
                    digest: digest.clone(),
                });
            }
            texts.insert(digest.clone(), text.clone());
        }
        let config = Rc::new(assemble(&pointer, &texts)?);
        self.pointer = pointer;
        self.texts = texts;
        self.config = Some(Rc::clone(&config));
        Ok(Some(config))
    }
}

/// Reads the documents of a pointer into one configuration.
///
/// # Errors
///
/// Returns an error for the first document that cannot be read, or without a fleet document.
pub fn assemble(pointer: &ConfigPointer, texts: &BTreeMap<String, String>) -> Result<FleetConfig> {
    let mut fleet = None;
    let mut services = BTreeMap::new();
    let mut blocks = Vec::new();
    for entry in &pointer.entries {
        let text = texts.get(&entry.digest).map_or("", String::as_str);
        let document: ConfigDocument =
            serde_json::from_str(text).map_err(|error| Error::object(&entry.label, error))?;
        match document {
            ConfigDocument::Fleet(document) => fleet = Some(document),
            ConfigDocument::Service(service) => {
                services.insert(service.name.clone(), service);
            }
            ConfigDocument::Blocks(document) => blocks.extend(document.blocks),
        }
    }
    let fleet = fleet.ok_or_else(|| Error::object("fleet", "there is no fleet document"))?;
    for service in services.values_mut() {
        for target in &mut service.targets {
            let region = fleet.region_of_zone(&target.zone);
            target.region = region.map_or_else(String::new, |region| region.name.clone());
        }
    }
    Ok(FleetConfig {
        generation: pointer.generation,
        fleet,
        services,
        blocks,
    })
}
