//! The lab's program.

use std::{
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use bpaf::Bpaf;
use cicadaweir_core::{node::Guard, route::Policy, time::Duration};
use cicadaweir_lab::{
    capacity::{self, Cost, Size},
    decisions, fleet,
    measure::Measures,
    pacing::{self, Pacing},
    report::{self, Row},
    scenario::{Deployment, Scenario, all},
    throughput,
};

/// Experiments on the decisions of cicadaweir, in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs scenarios and prints a table
    #[bpaf(command)]
    Scenarios {
        /// Only scenarios whose name contains this
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Seeds for each scenario
        #[bpaf(argument("N"), fallback(2))]
        seeds: u64,
        /// Compare with the baselines
        baselines: bool,
    },
    /// Writes the table of all scenarios and the plots
    #[bpaf(command)]
    Report {
        /// Seeds for each scenario
        #[bpaf(argument("N"), fallback(4))]
        seeds: u64,
        /// The folder
        #[bpaf(argument("FOLDER"), fallback("docs/measurements".to_owned()))]
        out: String,
    },
    /// Records what one node is told and does, as a trace
    #[bpaf(command)]
    Record {
        /// The scenario
        #[bpaf(argument("NAME"))]
        scenario: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// The node
        #[bpaf(argument("N"), fallback(3))]
        node: usize,
    },
    /// Times decisions, and the daemon against a bare UDP relay
    #[bpaf(command)]
    Bench {
        /// Turns of the daemon and the relay
        #[bpaf(argument("N"), fallback(5))]
        turns: usize,
    },
    /// Runs scenarios with one guard taken away
    #[bpaf(command)]
    Guards {
        /// Only scenarios whose name contains this
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Visits to each service in a second
        #[bpaf(argument("N"), fallback(40))]
        visits: u32,
    },
    /// Spreads release notes and a crash through fleets of several sizes
    #[bpaf(command)]
    Fleet,
    /// Measures one daemon's control work at several sizes
    #[bpaf(command)]
    Capacity,
    /// Tries policies for short answers beside downloads
    #[bpaf(command)]
    Pacing,
    /// Prints the packets of one caller, by default the first whose flow breaks
    #[bpaf(command)]
    Trace {
        /// The scenario
        #[bpaf(argument("NAME"))]
        scenario: String,
        /// The deployment
        #[bpaf(argument("NAME"), fallback("compas-andino".to_owned()))]
        deployment: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// The caller
        #[bpaf(argument("N"), optional)]
        caller: Option<u32>,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Scenarios {
            only,
            seeds,
            baselines,
        } => scenarios(&only, seeds, baselines),
        Command::Report { seeds, out } => write_report(seeds, &out),
        Command::Record {
            scenario,
            seed,
            node,
        } => record(&scenario, seed, node),
        Command::Bench { turns } => bench(turns),
        Command::Guards { only, visits } => guards(&only, visits),
        Command::Fleet => fleet_sizes(),
        Command::Capacity => capacity(),
        Command::Pacing => pacing(),
        Command::Trace {
            scenario,
            deployment,
            seed,
            caller,
        } => trace(&scenario, &deployment, seed, caller),
    }
}

/// Sizes by members, with the target size last.
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

fn capacity() -> ExitCode {
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
            c.probed,
            c.quiet_bytes,
            c.news_bytes,
            c.memory / 1e6
        );
        costs.push((size, c));
    }
    print_slopes(&costs);
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

/// Prints the line through each cost, by members.
fn print_slopes(costs: &[(Size, Cost)]) {
    let slope = |name: &str, value: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|(size, cost)| (f64::from(size.members), value(cost)))
            .collect();
        let (base, slope) = capacity::fit(&points);
        println!("slope {name:<10} {base:>10.2} + {slope:>9.4} a member");
    };
    slope("tick us", |c| c.tick_us);
    slope("probe us", |c| c.probe_us);
    slope("view us", |c| c.view_us);
    slope("note us", |c| c.note_us);
    slope("mark us", |c| c.mark_us);
    slope("report us", |c| c.report_us);
    slope("quiet B/s", |c| c.quiet_bytes);
    slope("news B", |c| c.news_bytes);
    slope("memory MB", |c| c.memory / 1e6);
}

fn bench(turns: usize) -> ExitCode {
    let cost = decisions::measure();
    println!(
        "decision, known flow of 500,000      {:>8.1} ns",
        cost.known_ns
    );
    println!(
        "decision, new flow, 14 targets       {:>8.1} ns",
        cost.new_ns
    );
    println!(
        "memory of a flow                     {:>8.1} bytes",
        cost.bytes
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

fn guards(only: &str, visits: u32) -> ExitCode {
    let jobs: Vec<(Option<Guard>, Scenario)> = all()
        .into_iter()
        .filter(|s| s.name.contains(only))
        .flat_map(|mut scenario| {
            scenario.load.visits = visits;
            let guards = Guard::ALL.into_iter().map(Some);
            std::iter::once(None)
                .chain(guards)
                .map(move |guard| (guard, scenario.clone()))
        })
        .collect();
    let lines: Vec<String> = std::thread::scope(|scope| {
        let started: Vec<_> = jobs
            .iter()
            .map(|(guard, scenario)| scope.spawn(move || guard_line(*guard, scenario)))
            .collect();
        started
            .into_iter()
            .map(|line| line.join().expect("no run panics"))
            .collect()
    });
    lines.iter().for_each(|line| println!("{line}"));
    ExitCode::SUCCESS
}

fn guard_line(guard: Option<Guard>, scenario: &Scenario) -> String {
    let m = scenario.run_without(guard, Deployment::CompasAndino, 1);
    let without = guard.map_or("all in place".to_owned(), |g| format!("without {g:?}"));
    format!(
        "{:<22} {without:<28} broken {:>5} unanswered {:>5} {:?}",
        scenario.name, m.broken, m.unanswered, m.broken_invariants
    )
}

fn fleet_sizes() -> ExitCode {
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
    for members in fleet::SIZES {
        let f = fleet::run(members, 1);
        println!(
            "{:>8} {:>14} {:>14} {:>14} {:>12.0} {:>12.0} {:>12}",
            members,
            f.known.as_millis(),
            f.in_force.as_millis(),
            f.crash_seen.as_millis(),
            f.quiet_rate,
            f.note_bytes,
            f.store_calls
        );
    }
    ExitCode::SUCCESS
}

fn pacing() -> ExitCode {
    let alone = pacing::run(Pacing::Fair, 0, 1)
        .short
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
            let p99 = outcome.short.value_at_quantile(0.99);
            let (least, most) = outcome.download_spread;
            println!(
                "{name:<12} {downloads:>9} {p99:>14} {:>9.2} {:>14.2} {:>20.3}",
                p99 as f64 / alone as f64,
                outcome.download_rate / 1e6,
                least as f64 / most.max(1) as f64
            );
        }
    }
    ExitCode::SUCCESS
}

fn record(name: &str, seed: u64, node: usize) -> ExitCode {
    let Some(scenario) = all().into_iter().find(|s| s.name == name) else {
        eprintln!("no scenario {name:?}");
        return ExitCode::FAILURE;
    };
    for line in scenario.record(Deployment::CompasAndino, seed, node) {
        println!("{line}");
    }
    ExitCode::SUCCESS
}

fn trace(name: &str, deployment: &str, seed: u64, caller: Option<u32>) -> ExitCode {
    let deployment = Deployment::ALL.into_iter().find(|d| d.name() == deployment);
    let scenario = all().into_iter().find(|s| s.name == name);
    let (Some(scenario), Some(deployment)) = (scenario, deployment) else {
        eprintln!("no scenario {name:?}, or no such deployment");
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

fn scenarios(only: &str, seeds: u64, baselines: bool) -> ExitCode {
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
    let mut intact = true;
    for row in &rows {
        print_row(row);
        intact &= row.policy != Policy::Owned || row.measures.broken_invariants.is_empty();
    }
    if intact {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn write_report(seeds: u64, out: &str) -> ExitCode {
    let rows = run_all("", seeds, true);
    match report::write(&rows, std::path::Path::new(out)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{out}: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs every scenario with every policy and seed, as many at once as there
/// are processors.
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
    let inner = |row: Mutex<Row>| row.into_inner().expect("no run panics");
    rows.into_iter().map(inner).collect()
}

/// Runs rows, one seed after the other, until none is left.
fn run_rows(rows: &[Mutex<Row>], seeds: u64, next: &AtomicUsize) {
    loop {
        let at = next.fetch_add(1, Ordering::Relaxed);
        let Some(row) = rows.get(at / seeds as usize) else {
            return;
        };
        let seed = 1 + at as u64 % seeds;
        let (scenario, deployment, policy) = {
            let row = row.lock().expect("no run panics");
            (row.scenario.clone(), row.deployment, row.policy)
        };
        let run = scenario.run(deployment, policy, seed);
        row.lock().expect("no run panics").measures.add(&run);
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
        m.times.value_at_quantile(0.99) as f64 / 1e3,
        m.imbalance / row.seeds as f64,
        m.control_rate(),
        100.0 * row.relayed_part(),
        m.slowest_note().as_millis(),
        100.0 * row.good_part(),
        m.broken_invariants,
    );
    if !m.silence.is_empty() {
        println!("{}", silence_line(&m.silence));
    }
}

/// Describes how long silent flows took to be reset.
fn silence_line(times: &[Duration]) -> String {
    let mut times = times.to_vec();
    times.sort_unstable();
    let part = |p: usize| times[(times.len() - 1) * p / 100].as_secs_f64();
    format!(
        "  {} silent flows reset; after the first unanswered segment: half within {:.1} s, nine in ten within {:.1} s, all within {:.1} s",
        times.len(),
        part(50),
        part(90),
        part(100)
    )
}
