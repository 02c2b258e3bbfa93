//! The release note file that operators write, in TOML.

use cicadaweir_core::catalog::{Change, ServiceSpec, TargetSpec, ZoneId};
use serde::{Deserialize, Serialize};

use super::{FileError, GENEVE_PORT, parse_address, parse_endpoint};

/// A release note file.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteFile {
    /// The revision on which the note is based; the newest revision if absent.
    pub base: Option<u64>,
    /// Services and targets to add.
    pub add: Added,
    /// Targets to change.
    pub change: Changed,
    /// Services and targets to withdraw.
    pub withdraw: Withdrawn,
}

/// The `add` table.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Added {
    /// New services.
    pub service: Vec<ServiceEntry>,
    /// New targets of existing services.
    pub target: Vec<TargetEntry>,
}

/// The `change` table.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changed {
    /// The targets after the change.
    pub target: Vec<TargetEntry>,
}

/// The `withdraw` table.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Names of services.
    pub service: Vec<String>,
    /// Targets as `SERVICE/TARGET`.
    pub target: Vec<String>,
}

/// A service to add.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The name.
    pub name: String,
    /// The addresses, as `tcp://IP:PORT` or `udp://IP:PORT`.
    pub addresses: Vec<String>,
    /// The initial targets.
    #[serde(default)]
    pub target: Vec<TargetEntry>,
}

/// A target to add or change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// The name of the service; absent if the target is listed within a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The name.
    pub name: String,
    /// The tunnel endpoint, as `IP` or `IP:PORT`; the default port is
    /// [`GENEVE_PORT`].
    pub endpoint: String,
    /// The availability zone.
    pub zone: u16,
    /// The weight: the target's share of flows relative to the other targets.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// The maximum number of open connections.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The number of requests that the target processes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// The HTTP endpoint for health and load probes, as `IP` or `IP:PORT`; the
    /// default port is 80. The target is not probed if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe: Option<String>,
}

const fn default_weight() -> u16 {
    100
}

const fn default_connections() -> u32 {
    2_000
}

const fn default_slots() -> u16 {
    2
}

/// Parses a release note file.
///
/// # Errors
///
/// [`FileError::Syntax`] with the line if the text is invalid TOML or has an
/// unknown or missing key.
pub fn parse(text: &str) -> Result<NoteFile, FileError> {
    toml::from_str(text).map_err(|err| FileError::Syntax(err.to_string()))
}

impl NoteFile {
    /// Returns the changes in the order in which they are applied: added services
    /// first, withdrawals last.
    ///
    /// # Errors
    ///
    /// [`FileError::Value`] with the key of the first invalid value.
    pub fn changes(&self) -> Result<Vec<Change>, FileError> {
        let mut changes = Vec::new();
        for service in &self.add.service {
            changes.push(Change::AddService(service.spec()?));
        }
        for target in &self.add.target {
            changes.push(Change::AddTarget {
                service: target.service_name("add.target.service")?,
                target: target.spec()?,
            });
        }
        for target in &self.change.target {
            changes.push(Change::ChangeTarget {
                service: target.service_name("change.target.service")?,
                target: target.spec()?,
            });
        }
        for path in &self.withdraw.target {
            changes.push(target_withdrawal(path)?);
        }
        for service in &self.withdraw.service {
            changes.push(Change::WithdrawService {
                service: service.clone(),
            });
        }
        Ok(changes)
    }
}

fn target_withdrawal(path: &str) -> Result<Change, FileError> {
    let (service, target) = path.split_once('/').ok_or_else(|| FileError::Value {
        key: "withdraw.target".to_owned(),
        value: path.to_owned(),
        expected: "SERVICE/TARGET",
    })?;
    Ok(Change::WithdrawTarget {
        service: service.to_owned(),
        target: target.to_owned(),
    })
}

impl ServiceEntry {
    fn spec(&self) -> Result<ServiceSpec, FileError> {
        let addresses = self.addresses.iter();
        Ok(ServiceSpec {
            name: self.name.clone(),
            addresses: addresses
                .map(|a| parse_address("add.service.addresses", a))
                .collect::<Result<_, _>>()?,
            targets: self
                .target
                .iter()
                .map(TargetEntry::spec)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl TargetEntry {
    fn service_name(&self, key: &str) -> Result<String, FileError> {
        self.service.clone().ok_or_else(|| FileError::Value {
            key: key.to_owned(),
            value: String::new(),
            expected: "the name of a service",
        })
    }

    fn spec(&self) -> Result<TargetSpec, FileError> {
        let probe = self.probe.as_deref();
        Ok(TargetSpec {
            name: self.name.clone(),
            endpoint: parse_endpoint("target.endpoint", &self.endpoint, GENEVE_PORT)?,
            zone: ZoneId(self.zone),
            weight: self.weight,
            connections: self.connections,
            slots: self.slots,
            probe: probe
                .map(|p| parse_endpoint("target.probe", p, 80))
                .transpose()?,
        })
    }
}
