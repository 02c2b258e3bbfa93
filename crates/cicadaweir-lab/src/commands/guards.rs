//! The subcommand that runs scenarios with one guard disabled.

use std::process::ExitCode;

use cicadaweir_core::node::Guard;
use cicadaweir_lab::scenario::{Deployment, Scenario, all};

pub fn guards(only: &str, visits: u32) -> ExitCode {
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
        let handles: Vec<_> = jobs
            .iter()
            .map(|(guard, scenario)| scope.spawn(move || run_line(*guard, scenario)))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().expect("no run panicked"))
            .collect()
    });
    lines.iter().for_each(|line| println!("{line}"));
    ExitCode::SUCCESS
}

fn run_line(guard: Option<Guard>, scenario: &Scenario) -> String {
    let m = scenario.run_with_guard_disabled(guard, Deployment::CompasAndino, 1);
    let label = guard.map_or("all in place".to_owned(), |g| format!("without {g:?}"));
    format!(
        "{:<22} {label:<28} broken {:>5} unanswered {:>5} {:?}",
        scenario.name, m.broken, m.unanswered, m.broken_invariants
    )
}
