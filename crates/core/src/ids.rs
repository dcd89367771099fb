//! Type aliases of identifiers, versions and times.

use std::time::Duration;

/// Name of an organisation.
pub type OrgId = String;
/// Name of a service.
pub type ServiceId = String;
/// Name of a target, unique in the fleet.
pub type TargetId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of an availability zone, unique in the fleet.
pub type ZoneId = String;
/// Name of a host.
pub type HostId = String;
/// Index of a member within its region.
pub type MemberId = u32;
/// Number of an accepted configuration; each publication increases it by one.
pub type Generation = u64;
/// Identifies one run of a process by its start, in wall-clock milliseconds since the Unix epoch.
pub type Incarnation = u64;
/// Identifier of one request, unique in the fleet.
pub type RequestId = String;
/// Version of an object or of a kind of objects in the platform's store. It consists of the store's era
/// in the high bits and the revision within that era in the low bits.
pub type Version = u64;
/// Time since boot, including time in suspend (`CLOCK_BOOTTIME`).
pub type BootTime = Duration;
