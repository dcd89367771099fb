//! Outgoing TCP connections with a configurable source address.

use compio::net::{TcpSocket, TcpStream};
use std::{
    io::Result,
    net::{IpAddr, SocketAddr},
};

/// Opens a connection with `TCP_NODELAY`, from `source_address` or from an address that the operating
/// system chooses.
///
/// # Errors
///
/// Returns the error of binding or connecting.
pub async fn connect(address: SocketAddr, source_address: Option<IpAddr>) -> Result<TcpStream> {
    let stream = match source_address {
        None => TcpStream::connect(address).await?,
        Some(source_address) => {
            let socket = if address.is_ipv4() {
                TcpSocket::new_v4().await?
            } else {
                TcpSocket::new_v6().await?
            };
            socket.bind(SocketAddr::new(source_address, 0)).await?;
            socket.connect(address).await?
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}
