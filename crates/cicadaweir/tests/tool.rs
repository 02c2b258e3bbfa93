//! The tool's commands against three daemons.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::{Duration, Instant},
};

use cicadaweir_standins::{platform::PlatformServer, site::Site};
use cicadaweird::daemon::{self, Handle};

const SITE: Site = Site {
    number: 41,
    entry_vms: 3,
    zones: 3,
};
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
const PATIENCE: Duration = Duration::from_secs(20);

struct Running {
    _platform: PlatformServer,
    daemons: Vec<Handle>,
}

fn start() -> Running {
    let platform = PlatformServer::start(SITE.platform()).expect("the platform starts");
    platform.set_members(SITE.list());
    let daemons = SITE
        .members()
        .map(|m| daemon::spawn(SITE.settings(m)).expect("the daemon starts"))
        .collect();
    Running {
        _platform: platform,
        daemons,
    }
}

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &SITE.platform().to_string()])
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn until(condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

#[test]
fn an_operator_publishes_looks_explains_and_drains() {
    let mut running = start();
    let first = format!("{EXAMPLES}first-note.toml");
    let second = format!("{EXAMPLES}second-note.toml");

    let checked = tool(&["publish", "--check", &first]);
    assert!(checked.status.success(), "{}", errors(&checked));
    let published = tool(&["publish", "--wait", "15", &first]);
    assert!(published.status.success(), "{}", errors(&published));
    assert!(
        text(&published).contains("zone 2: in force"),
        "{}",
        text(&published)
    );

    let again = tool(&["publish", &first]);
    assert_eq!(again.status.code(), Some(3), "{}", errors(&again));
    assert!(errors(&again).contains("\"timetable\" exists already"));

    let next = tool(&["publish", "--wait", "15", &second]);
    assert!(next.status.success(), "{}", errors(&next));
    let late = tool(&["publish", &second]);
    assert_eq!(late.status.code(), Some(4), "{}", errors(&late));
    assert!(errors(&late).contains("withdraws target timetable/t1"));

    insta::assert_snapshot!(text(&tool(&["show"])));
    insta::assert_snapshot!(text(&tool(&["--json", "diff", "1"])));

    let active = || {
        let status = text(&tool(&["status"]));
        status.matches("active").count() == 3
    };
    assert!(until(active), "{}", text(&tool(&["status"])));
    let targets = text(&tool(&["targets"]));
    assert!(
        targets.contains("timetable/t1") && targets.contains("withdrawn"),
        "{targets}"
    );
    assert!(text(&tool(&["flows"])).contains("remembers 0 flows"));

    let flow = "tcp,198.51.100.1:1000,203.0.113.10:443";
    let explained = tool(&["explain", flow]);
    assert_eq!(text(&explained).lines().count(), 3, "{}", text(&explained));
    let wrong = tool(&["explain", "tcp,nowhere"]);
    assert_eq!(wrong.status.code(), Some(1));
    assert!(errors(&wrong).contains("allowed is tcp,CALLER_IP:PORT"));

    let drained = tool(&["drain", "2"]);
    assert!(drained.status.success(), "{}", errors(&drained));
    assert!(
        until(|| !running.daemons[1].runs()),
        "the drained daemon ends"
    );
    running.daemons.remove(1);
    let status = text(&tool(&["status"]));
    let gone: SocketAddr = SITE.control(2);
    assert!(
        status.contains(&format!("{gone} does not answer")),
        "{status}"
    );
    let missing = tool(&["drain", "2"]);
    assert_eq!(missing.status.code(), Some(1));
}

#[test]
fn a_store_that_does_not_answer_has_its_own_exit_code() {
    let output = Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", "127.41.9.9:9", "show"])
        .output()
        .expect("the tool runs");
    assert_eq!(output.status.code(), Some(5), "{}", errors(&output));
}

#[test]
fn a_replayed_trace_that_departs_has_its_own_exit_code() {
    let traces = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/");
    let good = format!("{traces}notes.jsonl");
    assert!(tool(&["replay", &good]).status.success());
    let changed = std::env::temp_dir().join(format!("departs-{}.jsonl", std::process::id()));
    let text = std::fs::read_to_string(&good).expect("a trace");
    std::fs::write(&changed, text.replacen("\"forward t", "\"forward x", 1)).expect("written");
    let output = tool(&["replay", &changed.display().to_string()]);
    assert_eq!(output.status.code(), Some(8));
    assert!(errors(&output).contains("first divergence at line"));
}
