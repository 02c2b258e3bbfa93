//! Metrics over statsd.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use indexmap::IndexMap;

/// The prefix of every metric.
const PREFIX: &str = "cicadaweir";

/// Sends the growth of counters, and gauges as they are.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    sent: IndexMap<String, u64>,
}

impl Reporter {
    /// Makes a reporter; without an address it reports nothing.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(udp_client)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self {
            client,
            sent: IndexMap::new(),
        }
    }

    /// Sends what has changed; lost datagrams are not sent again.
    pub fn report(&mut self, counters: &IndexMap<String, u64>, gauges: &[(&str, u64)]) {
        for (name, &value) in counters {
            let sent = self.sent.entry(name.clone()).or_default();
            let growth = value.saturating_sub(*sent);
            if growth > 0 {
                let _ = self.client.count(name, growth as i64);
                *sent = value;
            }
        }
        for &(name, value) in gauges {
            let _ = self.client.gauge(name, value);
        }
    }
}

fn udp_client(addr: SocketAddr) -> Option<StatsdClient> {
    let local = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(addr, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
