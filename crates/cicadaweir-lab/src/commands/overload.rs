//! The subcommand that measures goodput under overload.

use std::{path::Path, process::ExitCode};

use cicadaweir_lab::overload::{Site, curve};

/// The fleets that are measured: entry VMs and targets.
const FLEETS: [(usize, usize); 3] = [(3, 14), (9, 14), (61, 120)];

/// The fleet whose curves are drawn.
const DRAWN: usize = 9;

pub fn overload(seeds: u64, out: &str) -> ExitCode {
    for (entry_vms, targets) in FLEETS {
        let site = Site {
            entry_vms,
            targets,
            ..Site::default()
        };
        println!("{entry_vms} entry VMs, {targets} targets: in time + late, of the capacity");
        let mut curves = Vec::new();
        for (name, policy) in curve::POLICIES {
            let points = curve::curve(&site, policy, seeds);
            let cells: Vec<String> = points
                .iter()
                .map(|point| {
                    format!(
                        "{:.2}x {:.2}+{:.2}",
                        point.offered, point.in_time, point.late
                    )
                })
                .collect();
            println!("  {name:<20} {}", cells.join("  "));
            let after = points.last().map_or(0.0, |point| point.after);
            let refusals: Vec<u64> = points.iter().map(|point| point.refusals).collect();
            println!(
                "  {:<20} after the highest {after:.2}, refusals {refusals:?}",
                ""
            );
            curves.push((name, points));
        }
        if entry_vms == DRAWN {
            let path = Path::new(out).join("overload.svg");
            if let Err(err) = curve::draw(&path, &curves) {
                eprintln!("{}: {err}", path.display());
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
