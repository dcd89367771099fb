//! Documents of client blocks: which region callers of an address range are near to.

use fighall_core::{
    document::ObjectReader,
    field::{FieldSpec, FieldTable},
    ids::RegionId,
    message,
};
use ipnet::IpNet;

/// Fields of a document of client blocks.
pub const BLOCKS_TABLE: FieldTable = FieldTable::new(
    "Client blocks document",
    &[
        FieldSpec::text("kind", "`blocks`"),
        FieldSpec::text("name", "Name of the document"),
        FieldSpec::objects("blocks", "Client blocks; the longest matching prefix wins"),
    ],
);

/// Fields of a client block.
pub const BLOCK_TABLE: FieldTable = FieldTable::new(
    "Client block",
    &[
        FieldSpec::text("prefix", "IPv4 or IPv6 prefix, such as `10.1.0.0/16`"),
        FieldSpec::text("region", "Region that serves its callers first"),
    ],
);

message! {
    /// `BlocksDocument` is a list of client blocks.
    pub struct BlocksDocument {
        /// Name of the document.
        pub name: String,
        /// Client blocks.
        pub blocks: Vec<ClientBlock>,
    }
}

message! {
    /// `ClientBlock` maps a range of addresses to a region.
    pub struct ClientBlock {
        /// Range.
        pub prefix: IpNet,
        /// Region.
        pub region: RegionId,
    }
}

impl BlocksDocument {
    /// Reads the document; findings go to the reader.
    pub fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        reader.text("kind");
        Some(Self {
            name: reader.name("name"),
            blocks: reader.objects("blocks", &BLOCK_TABLE, ClientBlock::read),
        })
    }
}

impl ClientBlock {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let prefix: Option<IpNet> = reader.parsed("prefix");
        let region = reader.name("region");
        let prefix = prefix?;
        if prefix != prefix.trunc() {
            reader.report("prefix", format!("`{prefix}` has bits beyond its length"));
        }
        Some(Self { prefix, region })
    }
}
