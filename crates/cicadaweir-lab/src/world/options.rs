//! Options of a world.

use cicadaweir_core::{node, time::Duration};

/// One service of a world.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceOptions {
    /// The name.
    pub name: String,
    /// The number of targets at the start.
    pub targets: u16,
    /// The connection limit of each target.
    pub max_connections: u32,
    /// Requests that a target processes concurrently.
    pub slots: u16,
    /// The mean processing time of a request.
    pub service_time: Duration,
}

/// Options of a world.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The seed of the random generator.
    pub seed: u64,
    /// Entry VMs at the start.
    pub entry_vms: u32,
    /// Availability zones.
    pub zones: u16,
    /// The delay between two zones, one way.
    pub zone_delay: Duration,
    /// The delay between callers and entry VMs, one way.
    pub caller_delay: Duration,
    /// The delay within a zone, one way.
    pub local_delay: Duration,
    /// The fraction of packets and messages lost between zones.
    pub loss: f64,
    /// The services.
    pub services: Vec<ServiceOptions>,
    /// The index of the node whose events and actions are recorded.
    pub record_node: Option<usize>,
    /// The index of the caller whose packets are printed.
    pub trace_caller: Option<u32>,
    /// The options of every node.
    pub node: node::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            entry_vms: 9,
            zones: 3,
            zone_delay: Duration::from_millis(5),
            caller_delay: Duration::from_millis(1),
            local_delay: Duration::from_micros(200),
            loss: 0.001,
            services: vec![
                ServiceOptions {
                    name: "board".to_owned(),
                    targets: 14,
                    max_connections: 2_000,
                    slots: 2,
                    service_time: Duration::from_millis(10),
                },
                ServiceOptions {
                    name: "sheet".to_owned(),
                    targets: 4,
                    max_connections: 2_000,
                    slots: 2,
                    service_time: Duration::from_millis(10),
                },
            ],
            record_node: None,
            trace_caller: None,
            node: node::Options::default(),
        }
    }
}
