//! The stored record of a release note, in JSON.

use cicadaweir_core::catalog::{
    Change, NoteId, ReleaseNote, Revision, ServiceSpec, TargetSpec, ZoneId,
};
use serde::{Deserialize, Serialize};

use super::{FileError, format_address, parse_address, parse_endpoint};

/// The record version that this build reads and writes.
const VERSION: u16 = 1;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    version: u16,
    revision: u64,
    id: String,
    published_ms: u64,
    changes: Vec<ChangeRecord>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum ChangeRecord {
    AddService {
        name: String,
        addresses: Vec<String>,
        targets: Vec<TargetRecord>,
    },
    WithdrawService {
        service: String,
    },
    AddTarget {
        service: String,
        target: TargetRecord,
    },
    ChangeTarget {
        service: String,
        target: TargetRecord,
    },
    WithdrawTarget {
        service: String,
        target: String,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TargetRecord {
    name: String,
    endpoint: String,
    zone: u16,
    weight: u16,
    connections: u32,
    slots: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    probe: Option<String>,
}

/// Encodes a release note for the store.
///
/// # Panics
///
/// Never panics: every release note can be represented in JSON.
pub fn to_json(note: &ReleaseNote) -> Vec<u8> {
    let record = Record {
        version: VERSION,
        revision: note.revision.0,
        id: note.id.to_string(),
        published_ms: note.published_ms,
        changes: note.changes.iter().map(ChangeRecord::from).collect(),
    };
    serde_json::to_vec(&record).expect("a release note can be represented in JSON")
}

/// Decodes a release note from the store.
///
/// # Errors
///
/// [`FileError`] if the bytes are not a valid release note of this version.
pub fn from_json(bytes: &[u8]) -> Result<ReleaseNote, FileError> {
    let syntax = |err: serde_json::Error| FileError::Syntax(err.to_string());
    let record: Record = serde_json::from_slice(bytes).map_err(syntax)?;
    if record.version != VERSION {
        return Err(FileError::Value {
            key: "version".to_owned(),
            value: record.version.to_string(),
            expected: "1",
        });
    }
    let id = u128::from_str_radix(&record.id, 16).map_err(|_| FileError::Value {
        key: "id".to_owned(),
        value: record.id.clone(),
        expected: "32 hexadecimal digits",
    })?;
    let changes = record.changes.into_iter();
    Ok(ReleaseNote {
        revision: Revision(record.revision),
        id: NoteId(id),
        published_ms: record.published_ms,
        changes: changes
            .map(ChangeRecord::change)
            .collect::<Result<_, _>>()?,
    })
}

impl From<&Change> for ChangeRecord {
    fn from(change: &Change) -> Self {
        match change {
            Change::AddService(spec) => Self::AddService {
                name: spec.name.clone(),
                addresses: spec.addresses.iter().map(format_address).collect(),
                targets: spec.targets.iter().map(TargetRecord::from).collect(),
            },
            Change::WithdrawService { service } => Self::WithdrawService {
                service: service.clone(),
            },
            Change::AddTarget { service, target } => Self::AddTarget {
                service: service.clone(),
                target: target.into(),
            },
            Change::ChangeTarget { service, target } => Self::ChangeTarget {
                service: service.clone(),
                target: target.into(),
            },
            Change::WithdrawTarget { service, target } => Self::WithdrawTarget {
                service: service.clone(),
                target: target.clone(),
            },
        }
    }
}

impl ChangeRecord {
    fn change(self) -> Result<Change, FileError> {
        Ok(match self {
            Self::AddService {
                name,
                addresses,
                targets,
            } => Change::AddService(ServiceSpec {
                name,
                addresses: addresses
                    .iter()
                    .map(|a| parse_address("addresses", a))
                    .collect::<Result<_, _>>()?,
                targets: targets
                    .into_iter()
                    .map(TargetRecord::spec)
                    .collect::<Result<_, _>>()?,
            }),
            Self::WithdrawService { service } => Change::WithdrawService { service },
            Self::AddTarget { service, target } => Change::AddTarget {
                service,
                target: target.spec()?,
            },
            Self::ChangeTarget { service, target } => Change::ChangeTarget {
                service,
                target: target.spec()?,
            },
            Self::WithdrawTarget { service, target } => Change::WithdrawTarget { service, target },
        })
    }
}

impl From<&TargetSpec> for TargetRecord {
    fn from(spec: &TargetSpec) -> Self {
        Self {
            name: spec.name.clone(),
            endpoint: spec.endpoint.to_string(),
            zone: spec.zone.0,
            weight: spec.weight,
            connections: spec.connections,
            slots: spec.slots,
            probe: spec.probe.map(|p| p.to_string()),
        }
    }
}

impl TargetRecord {
    pub(super) fn spec(self) -> Result<TargetSpec, FileError> {
        let probe = self.probe.as_deref();
        Ok(TargetSpec {
            endpoint: parse_endpoint("endpoint", &self.endpoint, 0)?,
            zone: ZoneId(self.zone),
            weight: self.weight,
            connections: self.connections,
            slots: self.slots,
            probe: probe.map(|p| parse_endpoint("probe", p, 0)).transpose()?,
            name: self.name,
        })
    }
}
