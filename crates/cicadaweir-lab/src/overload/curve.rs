//! Goodput against offered load.

use std::path::Path;

use cicadaweir_core::steer::{AdmissionOptions, LimitPolicy, Options};
use plotters::prelude::*;

use super::{Load, Site, run};

/// The offered loads of a curve, as multiples of the targets' capacity.
pub const OFFERED: [f64; 8] = [0.33, 0.66, 0.85, 1.0, 1.25, 1.5, 2.0, 3.0];

/// The policies that are compared, with their names.
pub const POLICIES: [(&str, LimitPolicy); 4] = [
    ("no admission", LimitPolicy::Unlimited),
    ("fixed, 0.5 a slot", LimitPolicy::Fixed(0.5)),
    ("gradient", LimitPolicy::Gradient),
    ("latency objective", LimitPolicy::Objective),
];

/// One point of a curve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The requests offered, as a multiple of the capacity.
    pub offered: f64,
    /// The requests answered within the latency objective, as a fraction of the
    /// capacity.
    pub in_time: f64,
    /// The requests answered later, as a fraction of the capacity.
    pub late: f64,
    /// The fraction of the requests of the two seconds after the burst that was
    /// answered within the objective.
    pub after: f64,
    /// Resets for load by entry VMs.
    pub refusals: u64,
}

/// Measures one policy at all loads of [`OFFERED`], over several seeds. Requests count
/// from the third second of the burst on.
pub fn curve(site: &Site, policy: LimitPolicy, seeds: u64) -> Vec<Point> {
    let options = Options {
        admission: AdmissionOptions {
            policy,
            ..AdmissionOptions::default()
        },
        ..Options::default()
    };
    OFFERED
        .iter()
        .map(|&offered| point(site, options, offered, seeds))
        .collect()
}

fn point(site: &Site, options: Options, offered: f64, seeds: u64) -> Point {
    let load = Load::burst(site, offered);
    let (from, until) = (load.burst_from as usize + 2, load.burst_until as usize);
    let capacity = site.capacity(load.mean_work_ms()) * (until - from) as f64 * seeds as f64;
    let mut point = Point {
        offered,
        in_time: 0.0,
        late: 0.0,
        after: 0.0,
        refusals: 0,
    };
    for seed in 1..=seeds {
        let outcome = run(site, &load, options, seed);
        let burst = outcome.between(from, until, None);
        let after = outcome.between(until, until + 2, None);
        point.in_time += burst.in_aim as f64 / capacity;
        point.late += burst.late as f64 / capacity;
        point.after += after.in_aim as f64 / after.asked.max(1) as f64 / seeds as f64;
        point.refusals += outcome.entry_refusals;
    }
    point
}

/// Draws curves, one for each policy, into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &Path, curves: &[(&str, Vec<Point>)]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (720, 440)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..3.1, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("requests offered, as a multiple of the capacity")
        .y_desc("answered in time, of the capacity")
        .draw()?;
    let colors = [RED, MAGENTA, GREEN, BLUE];
    for ((name, points), color) in curves.iter().zip(colors) {
        let line = points.iter().map(|point| (point.offered, point.in_time));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
