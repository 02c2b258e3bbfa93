//! Stops, restarts and settings.

use crate::PROGRAM;
use cicadaweir_standins::steered::{BOARD, SYN, Site, packet, wait_until};

#[test]
fn a_planned_stop_leaves_the_rotation_first_and_serves_meanwhile() {
    let site = Site::start(PROGRAM, 31, 1);
    let mut daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    daemon.signal("TERM");
    wait_until("the daemon leaves the rotation", || {
        site.is_ready(&daemon) == Some(503)
    });
    site.deliver(&daemon, &packet(1, BOARD, SYN, 0, &[]));
    wait_until("the daemon has ended", || {
        daemon.child.try_wait().expect("a child").is_some()
    });
    let status = daemon.child.wait().expect("a child");
    assert!(status.success(), "{status}");
    daemon.wait_line(&["INFO stopped"]);
}

#[test]
fn settings_are_taken_up_or_refused_while_it_serves() {
    let site = Site::start(PROGRAM, 32, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    daemon.signal("HUP");
    daemon.wait_line(&["reloaded, the settings are unchanged"]);
    daemon.change_settings("[store]", "[limits]\nlog_lines = 7\n[store]");
    daemon.wait_line(&["INFO reloaded"]);
    daemon.change_settings("log_lines = 7", "log_lines = 0");
    daemon.wait_line(&["settings file is refused", "limits.log_lines"]);
    site.deliver(&daemon, &packet(1, BOARD, SYN, 0, &[]));
    daemon.change_settings("log_lines = 0", "log_lines = 9");
    daemon.change_settings("zone = \"a\"", "zone = \"b\"");
    daemon.wait_line(&["reloaded in part"]);
}

#[test]
fn the_settings_alone_can_be_checked() {
    let dir = std::env::temp_dir().join(format!("cicadaweird-check-{}.toml", std::process::id()));
    let text = "carrier = \"cookie\"\n[member]\nname = \"\"\nzone = \"a\"\n\
        [listen]\npackets = \"0.0.0.0:1\"\nready = \"127.0.0.1:1\"\nmetrics = \"127.0.0.1:2\"\n\
        peer = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:0\"\n[limits]\nflows = 1\n";
    std::fs::write(&dir, text).expect("a settings file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_cicadaweird"))
        .args(["--check", "--settings"])
        .arg(&dir)
        .output()
        .expect("the daemon starts");
    let _ = std::fs::remove_file(&dir);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    for key in [
        "member.name",
        "listen.packets",
        "store.address",
        "limits.flows",
    ] {
        assert!(errors.contains(key), "{key} is not named in {errors}");
    }
}
