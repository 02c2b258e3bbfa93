//! The report: a table of all scenarios, and plots.

use std::{fmt::Write, io, path::Path};

use cicadaweir_core::route::Policy;
use plotters::prelude::*;

use crate::{
    measure::Measures,
    scenario::{Deployment, Scenario},
};

/// One row of the report.
#[derive(Debug, Clone)]
pub struct Row {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// The deployment that was simulated.
    pub deployment: Deployment,
    /// The placement policy.
    pub policy: Policy,
    /// The measures, added up over all seeds.
    pub measures: Measures,
    /// The number of seeds.
    pub seeds: u64,
}

impl Row {
    /// Returns the fraction of the surge's callers that were served within the
    /// deadline.
    pub fn surge_served_fraction(&self) -> f64 {
        let surge = u64::from(self.scenario.load.surge) * self.seeds;
        self.measures.served_in_surge as f64 / surge.max(1) as f64
    }

    /// Returns the ratio of relayed to forwarded packets.
    pub fn relayed_fraction(&self) -> f64 {
        self.measures.relayed as f64 / self.measures.forwarded.max(1) as f64
    }

    fn to_markdown(&self) -> String {
        let m = &self.measures;
        let invariants = if m.broken_invariants.is_empty() {
            "held".to_owned()
        } else {
            format!("{:?}", m.broken_invariants)
        };
        format!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.3} | {:.0} | {:.1} | {} | {:.1} | {} |",
            self.scenario.name,
            self.deployment.name(),
            self.policy.name(),
            m.opened,
            m.broken,
            m.refused,
            m.unanswered,
            m.request_times.value_at_quantile(0.99) as f64 / 1e3,
            m.imbalance / self.seeds as f64,
            m.control_rate(),
            100.0 * self.relayed_fraction(),
            m.max_note_latency().as_millis(),
            100.0 * self.surge_served_fraction(),
            invariants
        )
    }
}

/// The header of the Markdown table.
const TABLE_HEADER: &str = "| scenario | deployment | policy | opened | broken | refused | unanswered | \
p99 ms | imbalance | control B/s | relayed % | note ms | surge served % | invariants |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// Writes `scenarios.md` and the plots into a folder, which is created if it
/// does not exist.
///
/// # Errors
///
/// Returns an error if a file cannot be written or a plot cannot be drawn.
pub fn write(rows: &[Row], folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut text = String::from(
        "# All scenarios\n\nWritten by `cargo run --release -p cicadaweir-lab -- report`.\n\n",
    );
    text += TABLE_HEADER;
    for row in rows {
        let _ = writeln!(text, "{}", row.to_markdown());
    }
    std::fs::write(folder.join("scenarios.md"), text)?;
    draw_bars(
        rows,
        &folder.join("broken-flows.svg"),
        "Broken flows of 10,000 opened (Compas Andino)",
        |row| 1e4 * row.measures.broken as f64 / row.measures.opened.max(1) as f64,
    )
    .map_err(|err| io::Error::other(err.to_string()))?;
    draw_bars(
        rows,
        &folder.join("p99.svg"),
        "99th percentile of requests in ms (Compas Andino)",
        |row| row.measures.request_times.value_at_quantile(0.99) as f64 / 1e3,
    )
    .map_err(|err| io::Error::other(err.to_string()))
}

/// The height of one bar in pixels.
const BAR_HEIGHT: u32 = 14;

/// Draws one bar on a logarithmic scale for each row of the Compás Andino
/// deployment.
fn draw_bars(
    rows: &[Row],
    path: &Path,
    title: &str,
    value: impl Fn(&Row) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<&Row> = rows
        .iter()
        .filter(|r| r.deployment == Deployment::CompasAndino)
        .collect();
    let height = BAR_HEIGHT * (rows.len() as u32 + 6);
    let area = SVGBackend::new(path, (900, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let max = rows.iter().map(|r| value(r)).fold(1.0, f64::max);
    area.draw_text(
        title,
        &("sans-serif", 16).into_font().color(&BLACK),
        (10, 8),
    )?;
    for (index, row) in rows.iter().enumerate() {
        let y = (BAR_HEIGHT * (index as u32 + 3)) as i32;
        let style = ("sans-serif", 11).into_font().color(&BLACK);
        let label = format!("{} {}", row.scenario.name, row.policy.name());
        area.draw_text(&label, &style, (10, y))?;
        let width = (500.0 * (1.0 + value(row)).ln() / (1.0 + max).ln()) as i32;
        let color = if row.policy == Policy::Owned {
            BLUE
        } else {
            RED
        };
        let bar = [(250, y), (250 + width, y + BAR_HEIGHT as i32 - 3)];
        area.draw(&Rectangle::new(bar, color.filled()))?;
        let number = format!("{:.1}", value(row));
        area.draw_text(&number, &style, (256 + width, y))?;
    }
    area.present()?;
    Ok(())
}
