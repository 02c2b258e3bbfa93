//! Subcommands that measure decisions, the daemon's throughput and pacing.

use std::process::ExitCode;

use cicadaweir_lab::{
    decisions,
    pacing::{self, Pacing},
    throughput,
};

pub fn bench(turns: usize) -> ExitCode {
    let cost = decisions::measure();
    println!(
        "decision, known flow of 500,000      {:>8.1} ns",
        cost.known_flow_ns
    );
    println!(
        "decision, new flow, 14 targets       {:>8.1} ns",
        cost.new_flow_ns
    );
    println!(
        "memory of a flow                     {:>8.1} bytes",
        cost.flow_bytes
    );
    match throughput::run(turns.max(1)) {
        Ok(outcome) => {
            println!(
                "bare UDP relay, packets a second     {:?}",
                rounded(&outcome.bare)
            );
            println!(
                "daemon, packets a second             {:?}",
                rounded(&outcome.daemon)
            );
            println!(
                "daemon against relay (medians)       {:>8.2}",
                outcome.ratio()
            );
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn rounded(values: &[f64]) -> Vec<u64> {
    values.iter().map(|v| v.round() as u64).collect()
}

pub fn pacing() -> ExitCode {
    let p99_without_downloads = pacing::run(Pacing::Fair, 0, 1)
        .short_latency_us
        .value_at_quantile(0.99);
    println!(
        "{:<12} {:>9} {:>14} {:>9} {:>14} {:>20}",
        "policy", "downloads", "short p99 us", "to alone", "download MB/s", "least/most download"
    );
    let policies = [
        ("fifo", Pacing::Fifo),
        ("quota 50%", Pacing::Quota(0.5)),
        ("quota 70%", Pacing::Quota(0.7)),
        ("quota 90%", Pacing::Quota(0.9)),
        ("fair", Pacing::Fair),
    ];
    for downloads in [10, 100] {
        for (name, policy) in policies {
            let outcome = pacing::run(policy, downloads, 1);
            let p99 = outcome.short_latency_us.value_at_quantile(0.99);
            let (min, max) = outcome.download_bytes_range;
            println!(
                "{name:<12} {downloads:>9} {p99:>14} {:>9.2} {:>14.2} {:>20.3}",
                p99 as f64 / p99_without_downloads as f64,
                outcome.download_bytes_per_sec / 1e6,
                min as f64 / max.max(1) as f64
            );
        }
    }
    ExitCode::SUCCESS
}
