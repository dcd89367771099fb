//! Addresses of programs that bind them later, or once more after a restart.
//!
//! A port that the system picked and that was closed again may become the source port of any
//! outgoing connection before the program binds it. The ports here lie below the system's range of
//! such ports, on a loopback address that belongs to one program of one process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of a program: below Linux's default range of source ports, which starts at 32768.
const FIRST_PORT: u16 = 21_000;
/// Bits of the address that count the programs of a process.
const COUNT_BITS: u32 = 8;
/// Bits of the address that tell processes apart.
const PROCESS_BITS: u32 = 15;
/// Upper half of the loopback network; tests with fixed addresses use the lower half.
const NETWORK: u32 = 0x7f80_0000;

static PROGRAMS: AtomicU32 = AtomicU32::new(0);

/// Picks `N` addresses for the listening sockets of one program.
pub fn program_addresses<const N: usize>() -> [SocketAddr; N] {
    let number = PROGRAMS.fetch_add(1, Ordering::Relaxed) % (1 << COUNT_BITS);
    let process = std::process::id() % (1 << PROCESS_BITS);
    let address = Ipv4Addr::from(NETWORK | process << COUNT_BITS | number);
    let mut port = FIRST_PORT;
    [(); N].map(|()| {
        port += 1;
        SocketAddr::from((address, port))
    })
}
