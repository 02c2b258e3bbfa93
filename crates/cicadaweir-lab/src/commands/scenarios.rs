//! Subcommands that run scenarios: tables, the report and traces.

use std::{
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use cicadaweir_core::{route::Policy, time::Duration};
use cicadaweir_lab::{
    measure::Measures,
    report::{self, Row},
    scenario::{Deployment, all},
};

pub fn scenarios(only: &str, seeds: u64, baselines: bool) -> ExitCode {
    println!(
        "{:<22} {:<14} {:<14} {:>7} {:>6} {:>7} {:>6} {:>6} {:>8} {:>7} {:>6} {:>7} {:>7} {:>6}  invariants",
        "scenario",
        "deployment",
        "policy",
        "opened",
        "broken",
        "refused",
        "unansw",
        "twice",
        "p99 ms",
        "imbal",
        "B/s",
        "relay%",
        "note ms",
        "good%"
    );
    let rows = run_all(only, seeds, baselines);
    let mut invariants_hold = true;
    for row in &rows {
        print_row(row);
        invariants_hold &= row.policy != Policy::Owned || row.measures.broken_invariants.is_empty();
    }
    if invariants_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

pub fn write_report(seeds: u64, out: &str) -> ExitCode {
    let rows = run_all("", seeds, true);
    match report::write(&rows, std::path::Path::new(out)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{out}: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the selected scenarios with every deployment, policy and seed, on as
/// many threads as there are processors.
fn run_all(only: &str, seeds: u64, baselines: bool) -> Vec<Row> {
    let policies: &[Policy] = if baselines {
        &Policy::ALL
    } else {
        &[Policy::Owned]
    };
    let mut rows: Vec<Mutex<Row>> = Vec::new();
    for scenario in all().into_iter().filter(|s| s.name.contains(only)) {
        for deployment in Deployment::ALL {
            rows.extend(policies.iter().map(|&policy| {
                Mutex::new(Row {
                    scenario: scenario.clone(),
                    deployment,
                    policy,
                    measures: Measures::default(),
                    seeds,
                })
            }));
        }
    }
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| run_rows(&rows, seeds, &next));
        }
    });
    let into_row = |row: Mutex<Row>| row.into_inner().expect("no run panicked");
    rows.into_iter().map(into_row).collect()
}

/// Takes pairs of a row and a seed from the shared counter and runs them until
/// none is left.
fn run_rows(rows: &[Mutex<Row>], seeds: u64, next: &AtomicUsize) {
    loop {
        let job = next.fetch_add(1, Ordering::Relaxed);
        let Some(row) = rows.get(job / seeds as usize) else {
            return;
        };
        let seed = 1 + job as u64 % seeds;
        let (scenario, deployment, policy) = {
            let row = row.lock().expect("no run panicked");
            (row.scenario.clone(), row.deployment, row.policy)
        };
        let run = scenario.run(deployment, policy, seed);
        row.lock().expect("no run panicked").measures.add(&run);
    }
}

fn print_row(row: &Row) {
    let m = &row.measures;
    println!(
        "{:<22} {:<14} {:<14} {:>7} {:>6} {:>7} {:>6} {:>6} {:>8.1} {:>7.3} {:>6.0} {:>7.2} {:>7} {:>6.1}  {:?}",
        row.scenario.name,
        row.deployment.name(),
        row.policy.name(),
        m.opened,
        m.broken,
        m.refused,
        m.unanswered,
        m.opened_twice,
        m.request_times.value_at_quantile(0.99) as f64 / 1e3,
        m.imbalance / row.seeds as f64,
        m.control_rate(),
        100.0 * row.relayed_fraction(),
        m.max_note_latency().as_millis(),
        100.0 * row.surge_served_fraction(),
        m.broken_invariants,
    );
    if !m.reset_delays.is_empty() {
        println!("{}", reset_delays_line(&m.reset_delays));
    }
}

/// Formats percentiles of the time until flows without connectivity were reset.
fn reset_delays_line(times: &[Duration]) -> String {
    let mut times = times.to_vec();
    times.sort_unstable();
    let percentile = |p: usize| times[(times.len() - 1) * p / 100].as_secs_f64();
    format!(
        "  {} silent flows reset; after the first unanswered segment: half within {:.1} s, nine in ten within {:.1} s, all within {:.1} s",
        times.len(),
        percentile(50),
        percentile(90),
        percentile(100)
    )
}

pub fn trace(name: &str, deployment_name: &str, seed: u64, caller: Option<u32>) -> ExitCode {
    let deployment = Deployment::ALL
        .into_iter()
        .find(|d| d.name() == deployment_name);
    let scenario = all().into_iter().find(|s| s.name == name);
    let (Some(scenario), Some(deployment)) = (scenario, deployment) else {
        eprintln!("unknown scenario {name:?} or unknown deployment {deployment_name:?}");
        return ExitCode::FAILURE;
    };
    let caller = caller.or_else(|| {
        let run = scenario.run(deployment, Policy::Owned, seed);
        run.broken_callers.first().copied()
    });
    let Some(caller) = caller else {
        println!("no flow breaks");
        return ExitCode::SUCCESS;
    };
    scenario.run_world(deployment, Policy::Owned, seed, Some(caller));
    ExitCode::SUCCESS
}

pub fn record(name: &str, seed: u64, node: usize) -> ExitCode {
    let Some(scenario) = all().into_iter().find(|s| s.name == name) else {
        eprintln!("unknown scenario {name:?}");
        return ExitCode::FAILURE;
    };
    for line in scenario.record(Deployment::CompasAndino, seed, node) {
        println!("{line}");
    }
    ExitCode::SUCCESS
}
