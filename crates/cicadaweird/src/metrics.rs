//! Counters and gauges over statsd.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use indexmap::IndexMap;

/// The prefix of every metric.
const PREFIX: &str = "cicadaweir";

/// Sends the increments of counters and the values of gauges.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    sent: IndexMap<String, u64>,
}

impl Reporter {
    /// Creates a reporter. It sends nothing if `statsd` is `None` or no socket
    /// can be opened.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(udp_client)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self {
            client,
            sent: IndexMap::new(),
        }
    }

    /// Sends the increments since the last report and all gauges. Lost
    /// datagrams are not retransmitted.
    pub fn report(&mut self, counters: &IndexMap<String, u64>, gauges: &[(&str, u64)]) {
        for (name, &value) in counters {
            let sent = self.sent.entry(name.clone()).or_default();
            let increment = value.saturating_sub(*sent);
            if increment > 0 {
                let _ = self.client.count(name, increment as i64);
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
