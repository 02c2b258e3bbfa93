//! What one message and one probe of a target cost.

use std::hint::black_box;

use cicadaweir_core::{
    load::{LoadUpdate, Mark, MarkUpdate},
    message::{Gossip, Message},
    prelude::*,
};
use cicadaweir_proto::codec;
use cicadaweir_standins::{
    site::Site,
    target::{TargetOptions, TargetServer},
};
use cicadaweird::probe;

use super::{member, time};

/// Times encoding and decoding of a probe that carries six records of each
/// sort, in microseconds.
pub fn codec_us() -> f64 {
    let gossip = Gossip {
        members: (0..7).map(|id| member(id, 1)).collect(),
        marks: (0..6)
            .map(|n| MarkUpdate {
                target: TargetKey(n),
                version: 1,
                mark: Mark::Hot,
                remote: false,
            })
            .collect(),
        loads: (0..6)
            .map(|n| LoadUpdate {
                target: TargetKey(n),
                version: 1,
                open: 1_000,
                pending: 10,
                rate: 100,
            })
            .collect(),
        ..Gossip::default()
    };
    let message = Message::Probe {
        sequence: 1,
        gossip,
    };
    let mut buf = Vec::new();
    time(20_000, |_| {
        buf.clear();
        codec::encode(MemberId(0), &message, &mut buf);
        let _ = black_box(codec::decode(&buf));
    })
}

/// Times probes of a stand-in target over HTTP, one after the other, in
/// microseconds; the target's own part is included.
///
/// # Errors
///
/// The operating system's error if the target can't be started.
pub fn http_probe_us() -> std::io::Result<f64> {
    let site = Site {
        number: 92,
        entry_vms: 1,
        zones: 1,
    };
    let _target = TargetServer::start(TargetOptions {
        service: "board".into(),
        name: "t1".into(),
        endpoint: site.target(1),
        entry_vms: Vec::new(),
        probe: site.load_endpoint(1),
        connections: 1,
        slots: 1,
    })?;
    let prober = probe::Prober::default();
    Ok(time(500, |_| {
        black_box(prober.probe(site.load_endpoint(1)));
    }))
}
