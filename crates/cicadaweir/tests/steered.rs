//! The `steered` subcommand against a deployment whose packets carry a cookie.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use cicadaweir_standins::steered::{ROUTE_PORT, Site};

/// Returns the path of the daemon, which is in the same directory as the tool.
fn daemon() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cicadaweir")).with_file_name("cicadaweird")
}

fn tool(site: &Site, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &site.address(250, 8_169).to_string(), "steered"])
        .args(arguments)
        .output()
        .expect("the tool must run")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn routes_and_targets_in_the_store_are_reported() {
    let site = Site::start(daemon(), 51, 2);
    site.put_target(2, "draining");
    site.put_config(7, &[ROUTE_PORT, 81]);
    let output = tool(&site, &[]);
    let report = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    for part in [
        "configuration 7",
        "route 198.18.0.1:8443  idempotent  classes weight 1",
        "route 198.18.0.1:81 ",
        "slots 2 ready",
        "slots 2 draining",
    ] {
        assert!(report.contains(part), "{part} is missing in:\n{report}");
    }
}

#[test]
fn an_address_selects_its_route_and_an_unknown_address_is_an_error() {
    let site = Site::start(daemon(), 52, 1);
    site.put_config(3, &[ROUTE_PORT, 81]);
    let report = text(&tool(&site, &["--address", "198.18.0.1:81"]).stdout);
    assert!(report.contains("route 198.18.0.1:81 ") && !report.contains(":8443"));
    let unknown = tool(&site, &["--address", "198.18.0.1:9"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(text(&unknown.stderr).contains("no route 198.18.0.1:9"));
}

#[test]
fn an_unreachable_entry_vm_and_an_unreachable_store_are_reported() {
    let site = Site::start(daemon(), 53, 1);
    let unreachable = site.address(249, 1).to_string();
    let output = tool(&site, &["--entry", &unreachable]);
    assert!(text(&output.stdout).contains("no answer"));
    assert_eq!(output.status.code(), Some(7));
    let output = Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &unreachable, "steered"])
        .output()
        .expect("the tool must run");
    assert_eq!(output.status.code(), Some(5), "{}", text(&output.stderr));
}
