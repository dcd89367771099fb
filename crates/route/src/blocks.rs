//! Longest-prefix-match table from client address blocks to regions.
//!
//! Nested prefixes are flattened into ranges that do not overlap, so that a look-up is one binary
//! search. An IPv4 range takes 6 bytes and an IPv6 range 18 bytes.

use fighall_config::blocks::ClientBlock;
use fighall_core::ids::RegionId;
use ipnet::IpNet;
use std::{collections::BTreeMap, net::IpAddr};

type RegionIndex = u16;

/// Region index of addresses that are in no block.
const NO_REGION: RegionIndex = RegionIndex::MAX;

/// `BlockTable` maps callers' addresses to regions.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    regions: Vec<RegionId>,
    v4: RangeTable<u32>,
    v6: RangeTable<u128>,
}

#[derive(Debug, Clone, Default)]
struct RangeTable<A> {
    starts: Vec<A>,
    regions: Vec<RegionIndex>,
}

impl BlockTable {
    /// Builds the table from a list of blocks. Of two blocks with the same prefix the later one
    /// wins.
    pub fn new(blocks: &[ClientBlock]) -> Self {
        let mut table = Self::default();
        let mut indexes = BTreeMap::new();
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for block in blocks {
            let region = match indexes.get(&block.region) {
                Some(index) => *index,
                None => {
                    let index = RegionIndex::try_from(table.regions.len()).unwrap_or(NO_REGION);
                    table.regions.push(block.region.clone());
                    indexes.insert(block.region.clone(), index);
                    index
                }
            };
            match block.prefix {
                IpNet::V4(net) => v4.push(AddressRange {
                    first: u32::from(net.network()),
                    last: u32::from(net.broadcast()),
                    region,
                }),
                IpNet::V6(net) => v6.push(AddressRange {
                    first: u128::from(net.network()),
                    last: u128::from(net.broadcast()),
                    region,
                }),
            }
        }
        table.v4 = RangeTable::new(v4, |address| address.checked_add(1));
        table.v6 = RangeTable::new(v6, |address| address.checked_add(1));
        table
    }

    /// Finds the region of the longest prefix that contains an address. An IPv4-mapped IPv6 address
    /// is treated as IPv4.
    pub fn region(&self, address: IpAddr) -> Option<&RegionId> {
        let index = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.find(u32::from(address)),
            IpAddr::V6(address) => self.v6.find(u128::from(address)),
        }?;
        self.regions.get(usize::from(index))
    }

    /// Gets the number of ranges after flattening.
    pub fn range_count(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }

    /// Gets the memory used by the ranges, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let v4_range = size_of::<u32>() + size_of::<RegionIndex>();
        let v6_range = size_of::<u128>() + size_of::<RegionIndex>();
        self.v4.starts.capacity() * v4_range + self.v6.starts.capacity() * v6_range
    }
}

struct AddressRange<A> {
    first: A,
    last: A,
    region: RegionIndex,
}

impl<A: Copy + Ord> RangeTable<A> {
    fn new(mut ranges: Vec<AddressRange<A>>, successor: impl Fn(A) -> Option<A>) -> Self {
        // Outer prefixes come before inner ones that start at the same address.
        ranges.sort_by(|a, b| (a.first, b.last).cmp(&(b.first, a.last)));
        let mut table = Self {
            starts: Vec::with_capacity(ranges.len() * 2),
            regions: Vec::with_capacity(ranges.len() * 2),
        };
        let mut open_ranges: Vec<AddressRange<A>> = Vec::new();
        for range in ranges {
            table.close_ranges_before(&mut open_ranges, Some(range.first), &successor);
            table.push(range.first, range.region);
            open_ranges.push(range);
        }
        table.close_ranges_before(&mut open_ranges, None, &successor);
        table.starts.shrink_to_fit();
        table.regions.shrink_to_fit();
        table
    }

    // Closes the open ranges that end before `first`. The addresses after a closed range belong to
    // the enclosing range, or to no region.
    fn close_ranges_before(
        &mut self,
        open_ranges: &mut Vec<AddressRange<A>>,
        first: Option<A>,
        successor: &impl Fn(A) -> Option<A>,
    ) {
        while let Some(last) = open_ranges.last().map(|range| range.last) {
            if first.is_some_and(|first| last >= first) {
                return;
            }
            open_ranges.pop();
            let enclosing = open_ranges.last().map_or(NO_REGION, |range| range.region);
            if let Some(start) = successor(last) {
                self.push(start, enclosing);
            }
        }
    }

    fn push(&mut self, start: A, region: RegionIndex) {
        // A range that starts at the same address as the previous one replaces it.
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.regions.pop();
        }
        if self.regions.last() == Some(&region) {
            return;
        }
        self.starts.push(start);
        self.regions.push(region);
    }

    fn find(&self, address: A) -> Option<RegionIndex> {
        let next_index = self.starts.partition_point(|start| *start <= address);
        let region = *self.regions.get(next_index.checked_sub(1)?)?;
        (region != NO_REGION).then_some(region)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn block(prefix: &str, region: &str) -> ClientBlock {
        ClientBlock {
            prefix: prefix.parse().unwrap(),
            region: region.to_owned(),
        }
    }

    fn find_region(table: &BlockTable, address: &str) -> Option<String> {
        table.region(address.parse().unwrap()).cloned()
    }

    #[test]
    fn the_longest_prefix_wins() {
        let table = BlockTable::new(&[
            block("10.0.0.0/8", "lima"),
            block("10.1.0.0/16", "arequipa"),
            block("10.1.2.0/24", "iquitos"),
            block("255.255.255.0/24", "lima"),
            block("2001:db8::/32", "arequipa"),
        ]);
        assert_eq!(find_region(&table, "10.0.0.1").as_deref(), Some("lima"));
        assert_eq!(find_region(&table, "10.1.1.1").as_deref(), Some("arequipa"));
        assert_eq!(find_region(&table, "10.1.2.3").as_deref(), Some("iquitos"));
        assert_eq!(find_region(&table, "10.1.3.0").as_deref(), Some("arequipa"));
        assert_eq!(find_region(&table, "10.2.0.0").as_deref(), Some("lima"));
        assert_eq!(find_region(&table, "11.0.0.0"), None);
        assert_eq!(
            find_region(&table, "255.255.255.255").as_deref(),
            Some("lima")
        );
        assert_eq!(
            find_region(&table, "2001:db8::1").as_deref(),
            Some("arequipa")
        );
        assert_eq!(
            find_region(&table, "::ffff:10.1.2.3").as_deref(),
            Some("iquitos")
        );
        assert_eq!(find_region(&table, "2001:db9::1"), None);
    }

    #[test]
    fn the_table_agrees_with_a_linear_search() {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut blocks = Vec::new();
        for _ in 0..300 {
            let length = rng.u8(4..=24);
            let address = std::net::Ipv4Addr::from(rng.u32(..) & 0x0f0f_ffff);
            let net = ipnet::Ipv4Net::new(address, length).unwrap().trunc();
            blocks.push(ClientBlock {
                prefix: net.into(),
                region: format!("r{}", rng.u8(0..9)),
            });
        }
        let table = BlockTable::new(&blocks);
        for _ in 0..5_000 {
            let address = std::net::Ipv4Addr::from(rng.u32(..) & 0x0f0f_ffff);
            let containing = blocks
                .iter()
                .filter(|block| block.prefix.contains(&IpAddr::V4(address)));
            let longest = containing.max_by_key(|block| block.prefix.prefix_len());
            let expected_prefix = longest.map(|block| block.prefix);
            let found = table.region(IpAddr::V4(address));
            // Equal prefixes may differ in region; either region is correct.
            let allowed = blocks
                .iter()
                .filter(|block| Some(block.prefix) == expected_prefix);
            let allowed: Vec<_> = allowed.map(|block| &block.region).collect();
            match found {
                Some(region) => assert!(allowed.contains(&region)),
                None => assert!(allowed.is_empty()),
            }
        }
    }
}
