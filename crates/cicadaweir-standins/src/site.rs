//! Addresses and settings of a whole site on loopback.
//!
//! Every process or thread has an IP number of its own within 127.0.0.0/8:
//! `127.N.0.1` for the fabric, `127.N.1.x` for entry VMs, `127.N.2.x` for
//! targets, where `N` is the site's number, so that tests run side by side.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cicadaweir_proto::list::ListRecord;
use cicadaweird::settings::{Limits, Listen, MemberSettings, Metrics, Platform, Settings, Trace};

/// The port of all tunnel sockets.
const TUNNEL_PORT: u16 = 6081;

/// The port of all peer sockets.
const PEER_PORT: u16 = 7070;

/// The port of all control endpoints.
const CONTROL_PORT: u16 = 7071;

/// The port of all load endpoints.
const LOAD_PORT: u16 = 8080;

/// The port of the platform's services.
const PLATFORM_PORT: u16 = 8500;

/// A site's numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// The site's own number, 1 to 254.
    pub number: u8,
    /// Entry VMs, at most 200.
    pub entry_vms: u8,
    /// Availability zones.
    pub zones: u16,
}

impl Site {
    fn ip(&self, part: u8, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.number, part, host).into()
    }

    /// Returns the fabric's address.
    pub fn fabric(&self) -> SocketAddr {
        (self.ip(0, 1), TUNNEL_PORT).into()
    }

    /// Returns the platform's address.
    pub fn platform(&self) -> SocketAddr {
        (self.ip(0, 2), PLATFORM_PORT).into()
    }

    /// Returns the numbers of the entry VMs.
    pub fn members(&self) -> std::ops::RangeInclusive<u8> {
        1..=self.entry_vms
    }

    /// Returns the availability zone of an entry VM or target.
    pub fn zone(&self, number: u8) -> u16 {
        u16::from(number - 1) % self.zones
    }

    /// Returns the tunnel address of an entry VM.
    pub fn tunnel(&self, member: u8) -> SocketAddr {
        (self.ip(1, member), TUNNEL_PORT).into()
    }

    /// Returns the tunnel addresses of all entry VMs.
    pub fn tunnels(&self) -> Vec<SocketAddr> {
        self.members().map(|m| self.tunnel(m)).collect()
    }

    /// Returns the control endpoint of an entry VM.
    pub fn control(&self, member: u8) -> SocketAddr {
        (self.ip(1, member), CONTROL_PORT).into()
    }

    /// Returns the tunnel endpoint of a target.
    pub fn target(&self, number: u8) -> SocketAddr {
        (self.ip(2, number), TUNNEL_PORT).into()
    }

    /// Returns the load endpoint of a target.
    pub fn load_endpoint(&self, number: u8) -> SocketAddr {
        (self.ip(2, number), LOAD_PORT).into()
    }

    /// Returns the membership list with all entry VMs.
    pub fn list(&self) -> Vec<ListRecord> {
        self.members()
            .map(|member| ListRecord {
                id: u32::from(member),
                zone: self.zone(member),
                peer: (self.ip(1, member), PEER_PORT).into(),
                control: Some(self.control(member)),
                leaving: false,
            })
            .collect()
    }

    /// Returns the settings of an entry VM.
    pub fn settings(&self, member: u8) -> Settings {
        Settings {
            member: MemberSettings {
                id: u32::from(member),
                zone: self.zone(member),
            },
            listen: Listen {
                tunnel: self.tunnel(member),
                peer: (self.ip(1, member), PEER_PORT).into(),
                control: self.control(member),
            },
            fabric: self.fabric(),
            platform: Platform {
                store: self.platform(),
                list: self.platform(),
            },
            hash_key: "00112233445566778899aabbccddeeff".to_owned(),
            limits: Limits::default(),
            metrics: Metrics::default(),
            trace: Trace::default(),
        }
    }
}
