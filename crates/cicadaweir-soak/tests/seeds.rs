//! Short runs with fixed seeds.

use std::path::PathBuf;

use cicadaweir_soak::{Options, run};

/// The daemon that the workspace's tests have built.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let dir = test
        .ancestors()
        .nth(2)
        .expect("tests lie below the build's folder");
    let program = dir.join("cicadaweird");
    assert!(
        program.exists(),
        "{} is missing: cargo build -p cicadaweird",
        program.display()
    );
    program
}

fn hold(seed: u64, net: u8) {
    let report = run(Options {
        seed,
        faults: 8,
        program: program(),
        net,
        ..Options::default()
    });
    assert!(report.broken.is_empty(), "{report}");
    assert!(report.answered > 0, "{report}");
}

#[test]
fn seed_1() {
    hold(1, 41);
}

#[test]
fn seed_2() {
    hold(2, 42);
}
