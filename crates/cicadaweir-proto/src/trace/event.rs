//! Events of a trace.

use std::net::SocketAddr;

use cicadaweir_core::event::Event;
use cicadaweir_core::{
    catalog::{Revision, TargetKey},
    flow::{FlowKey, Protocol},
    load::{ProbeResult, Report},
    membership::MemberId,
    packet::{Direction, PacketInfo, PacketKind, PacketRef},
    route::RelayHeader,
};
use serde::{Deserialize, Serialize};

use crate::{codec, list::ListRecord, note};

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EventRecord {
    /// So many ticks, of which all but the last were followed by nothing.
    Ticks(u32),
    /// A caller's packet.
    Caller(PacketRecord),
    /// A target's packet, with the address it came from.
    Target(PacketRecord, SocketAddr),
    /// A relayed packet.
    Relayed(PacketRecord, HeaderRecord),
    /// A message, packed, in hexadecimal digits.
    Message(u32, String),
    /// The membership list.
    List(Vec<ListRecord>),
    /// A release note as the store keeps it.
    Note(String),
    /// A snapshot's parts in JSON.
    Snapshot(Vec<String>),
    /// The end of a probe.
    Probed(u32, ProbeRecord),
    /// A planned stop.
    Leave,
}

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PacketRecord {
    /// `PROTOCOL,CALLER,ADDRESS`.
    pub flow: String,
    /// The kind.
    pub kind: KindRecord,
    /// The TCP sequence number.
    pub sequence: u32,
}

/// The kind of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindRecord {
    /// SYN.
    Opening,
    /// SYN and ACK.
    OpeningAnswer,
    /// No payload.
    Acknowledgement,
    /// Payload.
    Data,
    /// FIN.
    Closing,
    /// RST.
    Reset,
    /// UDP.
    Datagram,
}

/// The header of a relayed packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderRecord {
    /// The relaying member.
    pub from: u32,
    /// The digest of its view.
    pub view: u64,
    /// The revision it knows.
    pub known: u64,
    /// Hops taken.
    pub hops: u8,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ProbeRecord {
    /// Open, pending, completed, draining.
    Healthy(u32, u32, u64, bool),
    /// Not healthy.
    Unhealthy,
    /// No answer.
    Silent,
}

/// Writes a flow as `PROTOCOL,CALLER,ADDRESS`.
pub fn flow_text(flow: &FlowKey) -> String {
    format!("{},{},{}", flow.protocol, flow.caller, flow.address)
}

/// Reads a flow as `PROTOCOL,CALLER,ADDRESS`.
pub fn parse_flow(text: &str) -> Option<FlowKey> {
    let mut parts = text.split(',');
    let protocol = match parts.next()? {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    let mut endpoint = || Some(parts.next()?.parse::<SocketAddr>().ok()?.into());
    let flow = FlowKey {
        protocol,
        caller: endpoint()?,
        address: endpoint()?,
    };
    parts.next().is_none().then_some(flow)
}

impl From<PacketKind> for KindRecord {
    fn from(kind: PacketKind) -> Self {
        match kind {
            PacketKind::Opening => Self::Opening,
            PacketKind::OpeningAnswer => Self::OpeningAnswer,
            PacketKind::Acknowledgement => Self::Acknowledgement,
            PacketKind::Data => Self::Data,
            PacketKind::Closing => Self::Closing,
            PacketKind::Reset => Self::Reset,
            PacketKind::Datagram => Self::Datagram,
        }
    }
}

impl From<KindRecord> for PacketKind {
    fn from(kind: KindRecord) -> Self {
        match kind {
            KindRecord::Opening => Self::Opening,
            KindRecord::OpeningAnswer => Self::OpeningAnswer,
            KindRecord::Acknowledgement => Self::Acknowledgement,
            KindRecord::Data => Self::Data,
            KindRecord::Closing => Self::Closing,
            KindRecord::Reset => Self::Reset,
            KindRecord::Datagram => Self::Datagram,
        }
    }
}

impl From<&PacketInfo> for PacketRecord {
    fn from(info: &PacketInfo) -> Self {
        Self {
            flow: flow_text(&info.flow),
            kind: info.kind.into(),
            sequence: info.sequence,
        }
    }
}

impl PacketRecord {
    fn info(&self, direction: Direction) -> Result<PacketInfo, String> {
        let flow = parse_flow(&self.flow)
            .ok_or_else(|| format!("flow {:?} is not PROTOCOL,CALLER,ADDRESS", self.flow))?;
        Ok(PacketInfo {
            flow,
            direction,
            kind: self.kind.into(),
            sequence: self.sequence,
            bytes: 100,
        })
    }
}

impl EventRecord {
    /// Writes an event.
    pub fn from_event(event: &Event) -> Self {
        match event {
            Event::FromCaller { info, .. } => Self::Caller(info.into()),
            Event::FromTarget { info, from, .. } => Self::Target(info.into(), (*from).into()),
            Event::Relayed { info, header, .. } => Self::Relayed(
                info.into(),
                HeaderRecord {
                    from: header.from.0,
                    view: header.view,
                    known: header.known.0,
                    hops: header.hops,
                },
            ),
            Event::Message { from, message } => {
                let mut buf = Vec::new();
                codec::encode(*from, message, &mut buf);
                let digits = buf.iter().map(|b| format!("{b:02x}")).collect();
                Self::Message(from.0, digits)
            }
            Event::List(list) => Self::List(list.iter().map(ListRecord::from).collect()),
            Event::Note(release) => {
                Self::Note(String::from_utf8_lossy(&note::to_json(release)).into_owned())
            }
            Event::Snapshot(parts) => Self::Snapshot(
                parts
                    .iter()
                    .map(|p| String::from_utf8_lossy(&note::part_to_json(p)).into_owned())
                    .collect(),
            ),
            Event::Probed { target, result } => Self::Probed(target.0, (*result).into()),
            Event::Tick => Self::Ticks(1),
            Event::Leave => Self::Leave,
        }
    }

    /// Reads an event; ticks give [`Event::Tick`].
    ///
    /// # Errors
    ///
    /// What is wrong, in words.
    pub fn to_event(&self) -> Result<Event, String> {
        let packet = PacketRef(0);
        Ok(match self {
            Self::Ticks(_) => Event::Tick,
            Self::Caller(record) => Event::FromCaller {
                packet,
                info: record.info(Direction::ToTarget)?,
            },
            Self::Target(record, from) => Event::FromTarget {
                packet,
                info: record.info(Direction::ToCaller)?,
                from: (*from).into(),
            },
            Self::Relayed(record, header) => Event::Relayed {
                packet,
                info: record.info(Direction::ToTarget)?,
                header: RelayHeader {
                    from: MemberId(header.from),
                    view: header.view,
                    known: Revision(header.known),
                    hops: header.hops,
                },
            },
            Self::Message(_, digits) => {
                let (from, message) =
                    codec::decode(&bytes(digits)?).map_err(|err| err.to_string())?;
                Event::Message { from, message }
            }
            Self::List(records) => Event::List(records.iter().map(Into::into).collect()),
            Self::Note(text) => {
                let release = note::from_json(text.as_bytes()).map_err(|err| err.to_string())?;
                Event::Note(std::sync::Arc::new(release))
            }
            Self::Snapshot(parts) => Event::Snapshot(
                parts
                    .iter()
                    .map(|p| note::part_from_json(p.as_bytes()))
                    .collect::<Result<_, _>>()
                    .map_err(|err| err.to_string())?,
            ),
            Self::Probed(target, result) => Event::Probed {
                target: TargetKey(*target),
                result: (*result).into(),
            },
            Self::Leave => Event::Leave,
        })
    }
}

impl From<ProbeResult> for ProbeRecord {
    fn from(result: ProbeResult) -> Self {
        match result {
            ProbeResult::Healthy(r) => Self::Healthy(r.open, r.pending, r.completed, r.draining),
            ProbeResult::Unhealthy => Self::Unhealthy,
            ProbeResult::Silent => Self::Silent,
        }
    }
}

impl From<ProbeRecord> for ProbeResult {
    fn from(record: ProbeRecord) -> Self {
        match record {
            ProbeRecord::Healthy(open, pending, completed, draining) => Self::Healthy(Report {
                open,
                pending,
                completed,
                draining,
            }),
            ProbeRecord::Unhealthy => Self::Unhealthy,
            ProbeRecord::Silent => Self::Silent,
        }
    }
}

fn bytes(digits: &str) -> Result<Vec<u8>, String> {
    if digits.len() % 2 != 0 || !digits.is_ascii() {
        return Err("a message is not pairs of hexadecimal digits".to_owned());
    }
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16))
        .collect::<Result<_, _>>()
        .map_err(|err| format!("a message is not hexadecimal: {err}"))
}
