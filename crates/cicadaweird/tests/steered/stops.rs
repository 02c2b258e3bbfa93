//! Planned stops, reloads and checks of the settings.

use crate::PROGRAM;
use cicadaweir_standins::steered::{ROUTE_PORT, SYN, Site, packet, wait_until};

#[test]
fn a_planned_stop_fails_the_readiness_check_and_serves_until_the_exit() {
    let site = Site::start(PROGRAM, 31, 1);
    let mut daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    daemon.signal("TERM");
    wait_until("the readiness check fails", || {
        site.readiness_status(&daemon) == Some(503)
    });
    site.send_until_delivered(&daemon, &packet(1, ROUTE_PORT, SYN, 0, &[]));
    wait_until("the daemon has exited", || {
        daemon
            .child
            .try_wait()
            .expect("the status of the child")
            .is_some()
    });
    let status = daemon.child.wait().expect("the status of the child");
    assert!(status.success(), "{status}");
    daemon.wait_line(&["INFO stopped"]);
}

#[test]
fn a_reload_applies_valid_settings_and_rejects_invalid_ones() {
    let site = Site::start(PROGRAM, 32, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    daemon.signal("HUP");
    daemon.wait_line(&["reloaded, the settings are unchanged"]);
    daemon.change_settings("[store]", "[limits]\nlog_lines = 7\n[store]");
    daemon.wait_line(&["INFO reloaded"]);
    daemon.change_settings("log_lines = 7", "log_lines = 0");
    daemon.wait_line(&["settings file rejected", "limits.log_lines"]);
    site.send_until_delivered(&daemon, &packet(1, ROUTE_PORT, SYN, 0, &[]));
    daemon.change_settings("log_lines = 0", "log_lines = 9");
    daemon.change_settings("zone = \"a\"", "zone = \"b\"");
    daemon.wait_line(&["reloaded in part"]);
}

#[test]
fn the_check_flag_names_every_invalid_setting() {
    let path = std::env::temp_dir().join(format!("cicadaweird-check-{}.toml", std::process::id()));
    let text = "carrier = \"cookie\"\n[member]\nname = \"\"\nzone = \"a\"\n\
        [listen]\npackets = \"0.0.0.0:1\"\nready = \"127.0.0.1:1\"\nmetrics = \"127.0.0.1:2\"\n\
        peer = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:0\"\n[limits]\nflows = 1\n";
    std::fs::write(&path, text).expect("writing the settings file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_cicadaweird"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon starts");
    let _ = std::fs::remove_file(&path);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    for key in [
        "member.name",
        "listen.packets",
        "store.address",
        "limits.flows",
    ] {
        assert!(
            errors.contains(key),
            "expected an error that names {key}, got {errors}"
        );
    }
}
