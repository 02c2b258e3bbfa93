//! The cost of one message and of one probe of a target.

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

use super::{mean_us, member};

/// Returns the mean time to encode and decode a probe message that carries six
/// or seven records of each kind, in microseconds.
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
    mean_us(20_000, |_| {
        buf.clear();
        codec::encode(MemberId(0), &message, &mut buf);
        let _ = black_box(codec::decode(&buf));
    })
}

/// Returns the mean time of sequential HTTP probes of a stand-in target, in
/// microseconds. The target's own processing is included.
///
/// # Errors
///
/// Returns the operating system's error if the target cannot be started.
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
    Ok(mean_us(500, |_| {
        black_box(prober.probe(site.load_endpoint(1)));
    }))
}
