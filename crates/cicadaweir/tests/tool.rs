//! The subcommands of the tool against three daemons.

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
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Deployment {
    _platform: PlatformServer,
    daemons: Vec<Handle>,
}

fn start() -> Deployment {
    let platform = PlatformServer::start(SITE.platform()).expect("the platform must start");
    platform.set_members(SITE.list());
    let daemons = SITE
        .members()
        .map(|m| daemon::spawn(SITE.settings(m)).expect("the daemon must start"))
        .collect();
    Deployment {
        _platform: platform,
        daemons,
    }
}

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", &SITE.platform().to_string()])
        .args(arguments)
        .output()
        .expect("the tool must run")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn wait_until(condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

#[test]
fn an_operator_publishes_looks_explains_and_drains() {
    let mut deployment = start();
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
    let outdated = tool(&["publish", &second]);
    assert_eq!(outdated.status.code(), Some(4), "{}", errors(&outdated));
    assert!(errors(&outdated).contains("withdraws target timetable/t1"));

    insta::assert_snapshot!(text(&tool(&["show"])));
    insta::assert_snapshot!(text(&tool(&["--json", "diff", "1"])));

    let active = || {
        let status = text(&tool(&["status"]));
        status.matches("active").count() == 3
    };
    assert!(wait_until(active), "{}", text(&tool(&["status"])));
    let targets = text(&tool(&["targets"]));
    assert!(
        targets.contains("timetable/t1") && targets.contains("withdrawn"),
        "{targets}"
    );
    assert!(text(&tool(&["flows"])).contains("has 0 flows in its flow table"));

    let flow = "tcp,198.51.100.1:1000,203.0.113.10:443";
    let explained = tool(&["explain", flow]);
    assert_eq!(text(&explained).lines().count(), 3, "{}", text(&explained));
    let invalid = tool(&["explain", "tcp,nowhere"]);
    assert_eq!(invalid.status.code(), Some(1));
    assert!(errors(&invalid).contains("expected tcp,CALLER_IP:PORT"));

    let drained = tool(&["drain", "2"]);
    assert!(drained.status.success(), "{}", errors(&drained));
    assert!(
        wait_until(|| !deployment.daemons[1].is_running()),
        "the drained daemon must exit"
    );
    deployment.daemons.remove(1);
    let status = text(&tool(&["status"]));
    let stopped: SocketAddr = SITE.control(2);
    assert!(
        status.contains(&format!("{stopped} does not answer")),
        "{status}"
    );
    let missing = tool(&["drain", "2"]);
    assert_eq!(missing.status.code(), Some(1));
}

#[test]
fn an_unreachable_store_has_its_own_exit_code() {
    let output = Command::new(env!("CARGO_BIN_EXE_cicadaweir"))
        .args(["--store", "127.41.9.9:9", "show"])
        .output()
        .expect("the tool must run");
    assert_eq!(output.status.code(), Some(5), "{}", errors(&output));
}

#[test]
fn a_diverging_trace_has_its_own_exit_code() {
    let traces = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/");
    let good = format!("{traces}notes.jsonl");
    assert!(tool(&["replay", &good]).status.success());
    let changed = std::env::temp_dir().join(format!("diverges-{}.jsonl", std::process::id()));
    let text = std::fs::read_to_string(&good).expect("the trace must be readable");
    std::fs::write(&changed, text.replacen("\"forward t", "\"forward x", 1))
        .expect("the changed trace must be written");
    let output = tool(&["replay", &changed.display().to_string()]);
    assert_eq!(output.status.code(), Some(8));
    assert!(errors(&output).contains("first divergence at line"));
}
