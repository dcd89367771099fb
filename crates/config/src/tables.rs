//! All field tables of the documents, for the documentation.

use crate::{
    blocks::{BLOCK_TABLE, BLOCKS_TABLE},
    fleet::{FLEET_TABLE, LINK_TABLE, ORGANISATION_TABLE, REGION_TABLE},
    service::{ROUTE_TABLE, SERVICE_TABLE, TARGET_TABLE},
};
use fighall_core::field::FieldTable;

/// Tables of all objects in documents, in the order of the documentation.
pub const DOCUMENT_TABLES: &[FieldTable] = &[
    FLEET_TABLE,
    REGION_TABLE,
    LINK_TABLE,
    ORGANISATION_TABLE,
    SERVICE_TABLE,
    ROUTE_TABLE,
    TARGET_TABLE,
    BLOCKS_TABLE,
    BLOCK_TABLE,
];
