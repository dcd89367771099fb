//! Partitions of the simulated fleet.

use super::LimitFleet;

/// `FleetCut` is a partition of the hosts: which messages between its two sides are lost. Callers reach all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FleetCut {
    /// Between the first availability zone and the others.
    Zone,
    /// From the first availability zone to the others only.
    Outbound,
    /// From the other availability zones to the first one only.
    Inbound,
    /// Between the first half of the hosts and the others, across zones.
    Hosts,
}

/// All kinds of partitions.
pub(crate) const CUTS: [FleetCut; 4] = [
    FleetCut::Zone,
    FleetCut::Outbound,
    FleetCut::Inbound,
    FleetCut::Hosts,
];

impl FleetCut {
    /// Gets the group of a host: 1 on the first side, otherwise 0.
    pub(crate) fn group(self, number: usize, hosts: usize, zones: usize) -> usize {
        usize::from(match self {
            Self::Hosts => number < hosts / 2,
            _ => number.is_multiple_of(zones),
        })
    }
}

impl LimitFleet {
    /// Divides the hosts of `zones` availability zones.
    pub(crate) fn begin_cut(&mut self, zones: usize, cut: FleetCut) {
        let count = self.hosts.len();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.group = cut.group(number, count, zones);
        }
        self.one_way_group = match cut {
            FleetCut::Outbound => Some(0),
            FleetCut::Inbound => Some(1),
            FleetCut::Zone | FleetCut::Hosts => None,
        };
    }

    /// Ends the partition.
    pub(crate) fn end_cut(&mut self) {
        for host in &mut self.hosts {
            host.group = 0;
        }
        self.one_way_group = None;
    }
}
