//! Addresses in text.

use std::net::{IpAddr, SocketAddr};

use cicadaweir_core::{
    catalog::AddressSpec,
    flow::{Endpoint, Protocol},
};

use super::FileError;

/// Reads `tcp://IP:PORT` or `udp://IP:PORT`.
///
/// # Errors
///
/// [`FileError::Value`] that names the key and the value.
pub fn parse_address(key: &str, text: &str) -> Result<AddressSpec, FileError> {
    let wrong = || FileError::Value {
        key: key.to_owned(),
        value: text.to_owned(),
        allowed: "tcp://IP:PORT or udp://IP:PORT with an IP number and a port above 0",
    };
    let (scheme, rest) = text.split_once("://").ok_or_else(wrong)?;
    let protocol = match scheme {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return Err(wrong()),
    };
    let endpoint: SocketAddr = rest.parse().map_err(|_| wrong())?;
    if endpoint.port() == 0 || endpoint.ip().is_unspecified() {
        return Err(wrong());
    }
    Ok(AddressSpec {
        protocol,
        endpoint: endpoint.into(),
    })
}

/// Writes an address as [`parse_address`] reads it.
pub fn format_address(address: &AddressSpec) -> String {
    format!("{}://{}", address.protocol, address.endpoint)
}

/// Reads `IP` or `IP:PORT`.
///
/// # Errors
///
/// [`FileError::Value`] that names the key and the value.
pub fn parse_endpoint(key: &str, text: &str, default_port: u16) -> Result<Endpoint, FileError> {
    let parsed = text
        .parse::<SocketAddr>()
        .or_else(|_| text.parse::<IpAddr>().map(|ip| (ip, default_port).into()));
    parsed
        .ok()
        .filter(|a| a.port() != 0 && !a.ip().is_unspecified())
        .map(Endpoint::from)
        .ok_or_else(|| FileError::Value {
            key: key.to_owned(),
            value: text.to_owned(),
            allowed: "IP or IP:PORT with an IP number and a port above 0",
        })
}
