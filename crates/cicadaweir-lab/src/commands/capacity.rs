//! Subcommands that measure one daemon's control work, and the propagation
//! time of changes in fleets of several sizes.

use std::process::ExitCode;

use cicadaweir_lab::{
    capacity::{self, Cost, Size},
    fleet,
};

/// The measured sizes, in ascending order. The last one is the design target.
const SIZES: [Size; 5] = [
    Size {
        members: 9,
        services: 2,
        targets: 18,
    },
    Size {
        members: 64,
        services: 100,
        targets: 700,
    },
    Size {
        members: 256,
        services: 400,
        targets: 2_800,
    },
    Size {
        members: 1_024,
        services: 1_500,
        targets: 10_700,
    },
    Size {
        members: 2_100,
        services: 3_100,
        targets: 22_000,
    },
];

pub fn capacity() -> ExitCode {
    println!(
        "{:>8} {:>9} {:>8} {:>9} {:>9} {:>10} {:>10} {:>10} {:>10} {:>8} {:>9} {:>9} {:>9}",
        "members",
        "services",
        "targets",
        "tick us",
        "probe us",
        "view us",
        "note us",
        "mark us",
        "report us",
        "probed",
        "quiet B/s",
        "news B",
        "mem MB"
    );
    let mut costs = Vec::new();
    for size in SIZES {
        let c = capacity::measure(size);
        println!(
            "{:>8} {:>9} {:>8} {:>9.2} {:>9.2} {:>10.1} {:>10.1} {:>10.1} {:>10.2} {:>8.1} {:>9.0} {:>9.0} {:>9.1}",
            size.members,
            size.services,
            size.targets,
            c.tick_us,
            c.probe_us,
            c.view_us,
            c.note_us,
            c.mark_us,
            c.report_us,
            c.probed_targets,
            c.idle_bytes_per_sec,
            c.view_change_bytes,
            c.memory_bytes / 1e6
        );
        costs.push((size, c));
    }
    print_slopes(&costs);
    for (size, cost) in &costs {
        let (parts, bytes, install_ms) = cost.snapshot;
        println!(
            "snapshot at {} targets: {parts} parts, {:.0} KB, installed in {install_ms:.1} ms",
            size.targets,
            bytes / 1e3
        );
    }
    for flows in [10_000, 100_000, 500_000] {
        let h = capacity::hand_over(flows);
        println!(
            "hand-over of {} flows: {} exceptions, {} bytes, {} ms, longest tick {:.0} us",
            h.flows, h.exceptions, h.bytes, h.duration_ms, h.longest_tick_us
        );
    }
    println!(
        "codec us      {:>8.2} a message with six records of each sort",
        capacity::codec_us()
    );
    match capacity::http_probe_us() {
        Ok(us) => println!("HTTP probe us {us:>8.1} with the target's part"),
        Err(err) => eprintln!("{err}"),
    }
    ExitCode::SUCCESS
}

/// Prints a least-squares line through each cost as a function of the members.
fn print_slopes(costs: &[(Size, Cost)]) {
    let slope = |name: &str, value: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|(size, cost)| (f64::from(size.members), value(cost)))
            .collect();
        let (base, slope) = capacity::fit_line(&points);
        println!("slope {name:<10} {base:>10.2} + {slope:>9.4} a member");
    };
    slope("tick us", |c| c.tick_us);
    slope("probe us", |c| c.probe_us);
    slope("view us", |c| c.view_us);
    slope("note us", |c| c.note_us);
    slope("mark us", |c| c.mark_us);
    slope("report us", |c| c.report_us);
    slope("quiet B/s", |c| c.idle_bytes_per_sec);
    slope("news B", |c| c.view_change_bytes);
    slope("memory MB", |c| c.memory_bytes / 1e6);
}

pub fn fleet_sizes() -> ExitCode {
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>12} {:>12} {:>12}",
        "members",
        "note known ms",
        "in force ms",
        "crash seen ms",
        "quiet B/s",
        "note B",
        "store calls"
    );
    for members in fleet::FLEET_SIZES {
        let f = fleet::run(members, 1);
        println!(
            "{:>8} {:>14} {:>14} {:>14} {:>12.0} {:>12.0} {:>12}",
            members,
            f.known.as_millis(),
            f.in_force.as_millis(),
            f.crash_detected.as_millis(),
            f.idle_bytes_per_sec,
            f.note_bytes,
            f.store_calls
        );
    }
    ExitCode::SUCCESS
}
