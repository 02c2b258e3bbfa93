//! Records of events and packets in a trace.

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

/// An input event of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EventRecord {
    /// A number of consecutive ticks; only the last one may have led to actions.
    Ticks(u32),
    /// A packet from a caller.
    Caller(PacketRecord),
    /// A packet from a target, with its source address.
    Target(PacketRecord, SocketAddr),
    /// A packet relayed by another entry VM, with the relay header.
    Relayed(PacketRecord, HeaderRecord),
    /// A peer message: its sender, and the encoded message in hexadecimal digits.
    Message(u32, String),
    /// The membership list.
    List(Vec<ListRecord>),
    /// A release note, as its stored JSON record.
    Note(String),
    /// The parts of a catalog snapshot, in JSON.
    Snapshot(Vec<String>),
    /// The result of probing a target.
    Probed(u32, ProbeRecord),
    /// The request for a planned stop.
    Leave,
}

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PacketRecord {
    /// The flow, as `PROTOCOL,CALLER,ADDRESS`.
    pub flow: String,
    /// The kind of packet.
    pub kind: KindRecord,
    /// The TCP sequence number.
    pub sequence: u32,
}

/// The kind of a packet, by TCP flags and payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindRecord {
    /// SYN.
    Opening,
    /// SYN and ACK.
    OpeningAnswer,
    /// TCP without payload.
    Acknowledgement,
    /// TCP with payload.
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
    /// The member that relays the packet.
    pub from: u32,
    /// The digest of the sender's membership view.
    pub view: u64,
    /// The newest revision known to the sender.
    pub known: u64,
    /// The number of hops so far, including this one.
    pub hops: u8,
}

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ProbeRecord {
    /// Open connections, pending requests, completed requests, and whether the
    /// target is draining.
    Healthy(u32, u32, u64, bool),
    /// The target reported that it is unhealthy.
    Unhealthy,
    /// The target did not answer before the timeout.
    Silent,
}

/// Formats a flow as `PROTOCOL,CALLER,ADDRESS`.
pub fn format_flow(flow: &FlowKey) -> String {
    format!("{},{},{}", flow.protocol, flow.caller, flow.address)
}

/// Parses a flow from `PROTOCOL,CALLER,ADDRESS`.
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
            flow: format_flow(&info.flow),
            kind: info.kind.into(),
            sequence: info.sequence,
        }
    }
}

impl PacketRecord {
    fn info(&self, direction: Direction) -> Result<PacketInfo, String> {
        let flow = parse_flow(&self.flow)
            .ok_or_else(|| format!("flow {:?}: expected PROTOCOL,CALLER,ADDRESS", self.flow))?;
        Ok(PacketInfo {
            flow,
            direction,
            kind: self.kind.into(),
            sequence: self.sequence,
            // A trace does not record the size of a packet.
            bytes: 100,
        })
    }
}

impl EventRecord {
    /// Converts an event to its record.
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

    /// Converts the record to an event; a number of ticks becomes one
    /// [`Event::Tick`].
    ///
    /// # Errors
    ///
    /// Returns a description of the error if the record is invalid.
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
                    codec::decode(&decode_hex(digits)?).map_err(|err| err.to_string())?;
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

fn decode_hex(digits: &str) -> Result<Vec<u8>, String> {
    if digits.len() % 2 != 0 || !digits.is_ascii() {
        return Err("invalid message: expected pairs of hexadecimal digits".to_owned());
    }
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16))
        .collect::<Result<_, _>>()
        .map_err(|err| format!("invalid message: expected hexadecimal digits: {err}"))
}
