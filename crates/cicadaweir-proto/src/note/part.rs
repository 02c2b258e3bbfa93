//! Parts of a catalog snapshot in JSON.

use cicadaweir_core::{
    catalog::{
        AddressKey, Content, GenerationPart, NoteId, Part, Revision, ServiceKey, ServicePart,
        TargetKey, TargetPart,
    },
    time::Duration,
};
use serde::{Deserialize, Serialize};

use super::{FileError, format_address, parse_address, record::TargetRecord};

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartRecord {
    revision: u64,
    note: String,
    number: u32,
    count: u32,
    content: ContentRecord,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum ContentRecord {
    /// The key of the service, whether the target is withdrawn, and the target.
    Targets(Vec<(u32, bool, TargetRecord)>),
    Services(Vec<ServiceRecord>),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceRecord {
    name: String,
    /// The key and the text form of each address.
    addresses: Vec<(u32, String)>,
    /// The revision that withdrew the service.
    withdrawn: Option<u64>,
    generations: Vec<GenerationRecord>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationRecord {
    revision: u64,
    /// The time since the generation was superseded.
    superseded_ms: Option<u64>,
    /// The key and the weight of each target.
    targets: Vec<(u32, u16)>,
}

/// Encodes a part.
///
/// # Panics
///
/// Never panics: every part can be represented in JSON.
pub fn part_to_json(part: &Part) -> Vec<u8> {
    let record = PartRecord {
        revision: part.revision.0,
        note: part.note.to_string(),
        number: part.number,
        count: part.count,
        content: match &part.content {
            Content::Targets(targets) => ContentRecord::Targets(
                targets
                    .iter()
                    .map(|t| (t.service.0, t.withdrawn, TargetRecord::from(&t.spec)))
                    .collect(),
            ),
            Content::Services(services) => {
                ContentRecord::Services(services.iter().map(ServiceRecord::from).collect())
            }
        },
    };
    serde_json::to_vec(&record).expect("a part can be represented in JSON")
}

/// Decodes a part.
///
/// # Errors
///
/// [`FileError`] if the bytes are not a valid part.
pub fn part_from_json(bytes: &[u8]) -> Result<Part, FileError> {
    let syntax = |err: serde_json::Error| FileError::Syntax(err.to_string());
    let record: PartRecord = serde_json::from_slice(bytes).map_err(syntax)?;
    let note = u128::from_str_radix(&record.note, 16).map_err(|_| FileError::Value {
        key: "note".to_owned(),
        value: record.note.clone(),
        expected: "32 hexadecimal digits",
    })?;
    Ok(Part {
        revision: Revision(record.revision),
        note: NoteId(note),
        number: record.number,
        count: record.count,
        content: match record.content {
            ContentRecord::Targets(targets) => Content::Targets(
                targets
                    .into_iter()
                    .map(|(service, withdrawn, target)| {
                        Ok(TargetPart {
                            service: ServiceKey(service),
                            withdrawn,
                            spec: target.spec()?,
                        })
                    })
                    .collect::<Result<_, FileError>>()?,
            ),
            ContentRecord::Services(services) => Content::Services(
                services
                    .into_iter()
                    .map(ServiceRecord::part)
                    .collect::<Result<_, _>>()?,
            ),
        },
    })
}

impl From<&ServicePart> for ServiceRecord {
    fn from(part: &ServicePart) -> Self {
        let addresses = part.addresses.iter();
        let generations = part.generations.iter();
        Self {
            name: part.name.clone(),
            addresses: addresses
                .map(|(key, spec)| (key.0, format_address(spec)))
                .collect(),
            withdrawn: part.withdrawn.map(|r| r.0),
            generations: generations
                .map(|g| GenerationRecord {
                    revision: g.revision.0,
                    superseded_ms: g.superseded.map(Duration::as_millis),
                    targets: g.targets.iter().map(|t| (t.0.0, t.1)).collect(),
                })
                .collect(),
        }
    }
}

impl ServiceRecord {
    fn part(self) -> Result<ServicePart, FileError> {
        let addresses = self.addresses.iter();
        let generations = self.generations.into_iter();
        Ok(ServicePart {
            addresses: addresses
                .map(|(key, text)| Ok((AddressKey(*key), parse_address("addresses", text)?)))
                .collect::<Result<_, FileError>>()?,
            withdrawn: self.withdrawn.map(Revision),
            generations: generations
                .map(|g| GenerationPart {
                    revision: Revision(g.revision),
                    superseded: g.superseded_ms.map(Duration::from_millis),
                    targets: g
                        .targets
                        .into_iter()
                        .map(|t| (TargetKey(t.0), t.1))
                        .collect(),
                })
                .collect(),
            name: self.name,
        })
    }
}
