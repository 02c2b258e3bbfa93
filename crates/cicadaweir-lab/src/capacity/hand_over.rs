//! The cost of handing over exceptions.

use std::time::Instant as Clock;

use cicadaweir_core::{
    catalog::Change,
    flow::Protocol,
    message::Message,
    node::{self, Options},
    prelude::*,
};
use cicadaweir_proto::codec;

use super::{Bench, Size, target};

/// The longest virtual time to wait for a hand-over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(600);

/// The cost of handing over the exceptions of all slots.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HandOver {
    /// Remembered flows.
    pub flows: usize,
    /// Exceptions among them.
    pub exceptions: usize,
    /// The wall-clock time of the longest tick, in microseconds.
    pub longest_tick_us: f64,
    /// The duration of the hand-over on the node's clock, in milliseconds.
    pub duration_ms: u64,
    /// The bytes sent.
    pub bytes: usize,
}

/// Measures the hand-over of the exceptions of a node with the given number of
/// flows. A release note then moves some of them, and a tenth as many are opened
/// afterwards.
pub fn hand_over(flows: u32) -> HandOver {
    let mut options = Options {
        max_flows: 2 * flows as usize,
        ..Options::default()
    };
    options.load.refuse = false;
    let size = Size {
        members: 9,
        services: 2,
        targets: 18,
    };
    let mut bench = Bench::with_options(size, options);
    bench.open_flows(0..flows);
    bench.publish(vec![Change::AddTarget {
        service: "s0".into(),
        target: target(100_000),
    }]);
    bench.run_until_settled();
    bench.open_flows(flows..flows + flows / 10);
    let message = Message::ExceptionsRequest {
        slots: (0..cicadaweir_core::membership::SLOTS as u16).collect(),
        take_over: false,
    };
    bench.event(Event::Message {
        from: MemberId(1),
        message,
    });
    bench.run_hand_over()
}

impl Bench {
    fn open_flows(&mut self, numbers: std::ops::Range<u32>) {
        for number in numbers {
            let [a, b, c, d] = number.to_be_bytes();
            let caller = std::net::SocketAddr::from(([100 + a, b, c, d], 40_000));
            let address = std::net::SocketAddr::from(([203, 0, 0, 0], 443));
            let info = PacketInfo {
                flow: FlowKey {
                    protocol: Protocol::Tcp,
                    caller: caller.into(),
                    address: address.into(),
                },
                direction: Direction::ToTarget,
                kind: PacketKind::Opening,
                sequence: 0,
                bytes: 60,
            };
            let packet = PacketRef(0);
            self.event(Event::FromCaller { packet, info });
        }
    }

    /// Advances the time until the last exceptions are sent or the timeout is
    /// reached.
    fn run_hand_over(&mut self) -> HandOver {
        let started = self.now;
        let mut result = HandOver {
            flows: self.node.flows().len(),
            ..HandOver::default()
        };
        loop {
            self.now += node::TICK_INTERVAL;
            let clock = Clock::now();
            self.node.handle(self.now, Event::Tick, &mut self.out);
            let took = clock.elapsed().as_secs_f64() * 1e6;
            result.longest_tick_us = result.longest_tick_us.max(took);
            let mut complete = false;
            for action in &self.out {
                let Action::Send { message, .. } = action else {
                    continue;
                };
                if let Message::Exceptions { flows, last, .. } = message {
                    let mut buf = Vec::new();
                    codec::encode(MemberId(0), message, &mut buf);
                    result.bytes += buf.len();
                    result.exceptions += flows.len();
                    complete |= last;
                }
            }
            self.answer_all();
            if complete || self.now.since(started) > HAND_OVER_TIMEOUT {
                break;
            }
        }
        result.duration_ms = self.now.since(started).as_millis();
        result
    }
}
