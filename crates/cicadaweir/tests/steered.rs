//! The tool against a deployment whose packets name their target.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use cicadaweir_standins::steered::{ROUTE_PORT, Site};

/// The daemon's program lies beside the tool's.
fn daemon() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cicadaweir")).with_file_name("cicadaweird")
}

fn tool(site: &Site, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &site.address(250, 8_169).to_string(), "steered"])
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn routes_and_targets_are_shown_as_entry_vms_read_them() {
    let site = Site::start(daemon(), 51, 2);
    site.put_target(2, "draining");
    site.put_config(7, &[ROUTE_PORT, 81]);
    let output = tool(&site, &[]);
    let shown = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    for part in [
        "configuration 7",
        "route 198.18.0.1:8443  idempotent  classes weight 1",
        "route 198.18.0.1:81 ",
        "slots 2 ready",
        "slots 2 draining",
    ] {
        assert!(shown.contains(part), "{part} is missing in:\n{shown}");
    }
}

#[test]
fn one_route_or_none_is_explained() {
    let site = Site::start(daemon(), 52, 1);
    site.put_config(3, &[ROUTE_PORT, 81]);
    let shown = text(&tool(&site, &["--address", "198.18.0.1:81"]).stdout);
    assert!(shown.contains("route 198.18.0.1:81 ") && !shown.contains(":8443"));
    let none = tool(&site, &["--address", "198.18.0.1:9"]);
    assert_eq!(none.status.code(), Some(1));
    assert!(text(&none.stderr).contains("no route 198.18.0.1:9"));
}

#[test]
fn an_entry_vm_that_does_not_answer_and_a_store_that_does_not_are_told() {
    let site = Site::start(daemon(), 53, 1);
    let nobody = site.address(249, 1).to_string();
    let output = tool(&site, &["--entry", &nobody]);
    assert!(text(&output.stdout).contains("no answer"));
    assert_eq!(output.status.code(), Some(7));
    let output = Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &nobody, "steered"])
        .output()
        .expect("the tool runs");
    assert_eq!(output.status.code(), Some(5), "{}", text(&output.stderr));
}
