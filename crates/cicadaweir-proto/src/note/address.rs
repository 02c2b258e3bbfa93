//! Text form of addresses.

use std::net::{IpAddr, SocketAddr};

use cicadaweir_core::{
    catalog::AddressSpec,
    flow::{Endpoint, Protocol},
};

use super::FileError;

/// Parses `tcp://IP:PORT` or `udp://IP:PORT`.
///
/// # Errors
///
/// [`FileError::Value`] with `key` and the text if it is not such an address, if the
/// IP address is unspecified or if the port is 0.
pub fn parse_address(key: &str, text: &str) -> Result<AddressSpec, FileError> {
    let invalid = || FileError::Value {
        key: key.to_owned(),
        value: text.to_owned(),
        expected: "tcp://IP:PORT or udp://IP:PORT with a numeric IP address other than 0.0.0.0 or :: and a port above 0",
    };
    let (scheme, rest) = text.split_once("://").ok_or_else(invalid)?;
    let protocol = match scheme {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return Err(invalid()),
    };
    let endpoint: SocketAddr = rest.parse().map_err(|_| invalid())?;
    if endpoint.port() == 0 || endpoint.ip().is_unspecified() {
        return Err(invalid());
    }
    Ok(AddressSpec {
        protocol,
        endpoint: endpoint.into(),
    })
}

/// Formats an address in the form that [`parse_address`] accepts.
pub fn format_address(address: &AddressSpec) -> String {
    format!("{}://{}", address.protocol, address.endpoint)
}

/// Parses `IP:PORT`, or `IP` with the default port. The port must be given if
/// `default_port` is 0.
///
/// # Errors
///
/// [`FileError::Value`] with `key` and the text if it is not such an address, if the
/// IP address is unspecified or if the port is 0.
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
            expected: "IP or IP:PORT with a numeric IP address other than 0.0.0.0 or :: and a port above 0",
        })
}
