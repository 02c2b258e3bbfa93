//! Flow keys and their parts.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr, SocketAddr},
};

/// A transport protocol supported by the load balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Protocol {
    /// TCP, IP protocol number 6.
    Tcp = 6,
    /// UDP, IP protocol number 17.
    Udp = 17,
}

/// An IP address and a port; an IPv4 address is stored as an IPv4-mapped IPv6
/// address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint {
    /// The IPv6 or IPv4-mapped address in network byte order.
    pub ip: [u8; 16],
    /// The port number.
    pub port: u16,
}

/// The key of a flow: protocol, caller and service address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The address and port of the caller.
    pub caller: Endpoint,
    /// The address and port of the service.
    pub address: Endpoint,
}

impl Protocol {
    /// Returns the protocol with an IP protocol number, or `None` if it is
    /// unsupported.
    pub const fn from_number(number: u8) -> Option<Self> {
        match number {
            6 => Some(Self::Tcp),
            17 => Some(Self::Udp),
            _ => None,
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tcp => "tcp",
            Self::Udp => "udp",
        })
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(addr: SocketAddr) -> Self {
        let ip = match addr.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        Self {
            ip,
            port: addr.port(),
        }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        Self::new(Ipv6Addr::from(endpoint.ip).to_canonical(), endpoint.port)
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        SocketAddr::from(*self).fmt(f)
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}>{}", self.protocol, self.caller, self.address)
    }
}
