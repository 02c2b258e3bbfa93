//! The subcommands.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use cicadaweir::{
    demo::{self, Verdict},
    exit,
    fleet::Fleet,
    history, publish,
    report::{self, Report},
    steered,
};
use cicadaweir_core::{
    catalog::{NoteId, ReleaseNote, Revision},
    error::ErrorKind,
    flow::Endpoint,
};
use cicadaweir_proto::{note, trace};
use cicadaweird::platform::{HttpPlatform, Platform};

use crate::arguments::{Arguments, Command};

/// The control port of entry VMs whose list entry has no control endpoint.
const CONTROL_PORT: u16 = 7071;

/// An error message with its exit code.
struct Failure {
    code: u8,
    reason: String,
}

impl Failure {
    fn from_kind(kind: ErrorKind, reason: impl ToString) -> Self {
        Self {
            code: exit::code(kind),
            reason: reason.to_string(),
        }
    }

    fn other(reason: impl ToString) -> Self {
        Self {
            code: exit::OTHER,
            reason: reason.to_string(),
        }
    }
}

impl From<history::Error> for Failure {
    fn from(err: history::Error) -> Self {
        Self::from_kind(err.kind(), err)
    }
}

impl From<steered::Error> for Failure {
    fn from(err: steered::Error) -> Self {
        match err {
            steered::Error::Store(_) => Self::from_kind(ErrorKind::StoreUnavailable, err),
            steered::Error::NoRoute(_) => Self::other(err),
        }
    }
}

impl From<publish::Error> for Failure {
    fn from(err: publish::Error) -> Self {
        Self::from_kind(err.kind(), err)
    }
}

/// Runs a command and returns the exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    let list = arguments.list.unwrap_or(arguments.store);
    let platform = HttpPlatform::new(arguments.store, list);
    let result = match arguments.command {
        Command::Publish {
            wait,
            id,
            check,
            file,
        } => publish_file(&platform, &file, id.as_deref(), wait, check),
        Command::Show => show(&platform),
        Command::Diff { since } => diff(&platform, since),
        Command::Status => fleet(&platform).map(|f| (report::status(&f.status()), 0)),
        Command::Targets => fleet(&platform).map(|f| (report::targets(&f.status()), 0)),
        Command::Flows => fleet(&platform).map(|f| (report::flows(&f.status()), 0)),
        Command::Drain { member } => drain(&platform, member),
        Command::Explain { flow } => explain(&platform, &flow),
        Command::Steered { address, entry } => steered(arguments.store, address, &entry),
        Command::Replay { files } => replay(&files),
        Command::Demo {
            boards,
            surge,
            step,
        } => run_demo(boards, surge, step),
    };
    print_result(result, arguments.json)
}

fn print_result(result: Result<(Report, u8), Failure>, json: bool) -> ExitCode {
    match result {
        Ok((report, code)) => {
            let text = if json {
                report.json.to_string()
            } else {
                report.text
            };
            let _ = writeln!(io::stdout(), "{text}");
            ExitCode::from(code)
        }
        Err(failure) => {
            let _ = writeln!(io::stderr(), "{}", failure.reason);
            ExitCode::from(failure.code)
        }
    }
}

fn steered(
    store: SocketAddr,
    address: Option<SocketAddr>,
    entries: &[SocketAddr],
) -> Result<(Report, u8), Failure> {
    let directory = steered::read(store)?;
    let entries = steered::entries(entries);
    let report = steered::report(&directory, address.map(Endpoint::from), &entries)?;
    let unreachable = entries.iter().any(|entry| entry.state.is_none());
    Ok((report, if unreachable { exit::NOT_IN_FORCE } else { 0 }))
}

fn fleet(platform: &HttpPlatform) -> Result<Fleet, Failure> {
    let list = platform
        .members()
        .map_err(|err| Failure::from_kind(ErrorKind::StoreUnavailable, err))?;
    let control = |r: &cicadaweir_proto::list::ListRecord| {
        r.control.unwrap_or((r.peer.ip(), CONTROL_PORT).into())
    };
    Ok(Fleet::new(list.iter().map(control).collect()))
}

fn publish_file(
    platform: &HttpPlatform,
    path: &str,
    id: Option<&str>,
    wait: Option<u64>,
    check: bool,
) -> Result<(Report, u8), Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Failure::from_kind(ErrorKind::NoteInvalid, format!("{path}: {err}")))?;
    let file = note::parse(&text)
        .map_err(|err| Failure::from_kind(ErrorKind::NoteInvalid, format!("{path}: {err}")))?;
    let options = publish::Options {
        file,
        id: note_id(id)?,
        now_ms: publish::now_ms(),
        ..publish::Options::default()
    };
    if check {
        return check_note(platform, &options);
    }
    let outcome = publish::publish(platform, &options)?;
    let revision = outcome.revision.0;
    let Some(seconds) = wait else {
        let line = format!("revision {revision} accepted ({})", outcome.id);
        let json = serde_json::json!({ "revision": revision, "id": outcome.id.to_string() });
        return Ok((Report::new(&[line], json), 0));
    };
    let result = fleet(platform)?.wait_in_force(revision, Duration::from_secs(seconds));
    let code = if result.everywhere {
        0
    } else {
        exit::NOT_IN_FORCE
    };
    Ok((report::in_force(revision, &result), code))
}

/// Validates a note against the newest revision without publishing it.
fn check_note(
    platform: &HttpPlatform,
    options: &publish::Options,
) -> Result<(Report, u8), Failure> {
    let changes = options
        .file
        .changes()
        .map_err(|err| Failure::from_kind(ErrorKind::NoteInvalid, err))?;
    let (_, head) = history::head(platform)?;
    let mut catalog = history::catalog(platform, &head)?;
    let release = ReleaseNote {
        revision: Revision(head.revision + 1),
        id: options.id,
        published_ms: options.now_ms,
        changes,
    };
    catalog
        .apply(&release)
        .map_err(|err| Failure::from_kind(err.kind(), err))?;
    Ok((report::notes(&[release]), 0))
}

/// Parses a note ID, or generates one from the operating system's randomness.
fn note_id(text: Option<&str>) -> Result<NoteId, Failure> {
    if let Some(text) = text {
        return u128::from_str_radix(text, 16)
            .map(NoteId)
            .map_err(|_| Failure::other(format!("--id {text:?}: expected 32 hexadecimal digits")));
    }
    use std::hash::{BuildHasher, RandomState};
    let word = || u128::from(RandomState::new().hash_one(std::process::id()));
    Ok(NoteId(word() << 64 | word()))
}

fn show(platform: &HttpPlatform) -> Result<(Report, u8), Failure> {
    let (_, head) = history::head(platform)?;
    let catalog = history::catalog(platform, &head)?;
    Ok((report::catalog(&catalog), 0))
}

fn diff(platform: &HttpPlatform, since: u64) -> Result<(Report, u8), Failure> {
    let (_, head) = history::head(platform)?;
    let notes = history::notes_after(platform, &head, Revision(since))?;
    Ok((report::notes(&notes), 0))
}

fn drain(platform: &HttpPlatform, member: u32) -> Result<(Report, u8), Failure> {
    let fleet = fleet(platform)?;
    let status = fleet.status();
    let found = status
        .iter()
        .find(|(_, s)| s.as_ref().is_some_and(|s| s.member == member));
    let Some(&(control, _)) = found else {
        return Err(Failure::other(format!(
            "entry VM {member} is not among the entry VMs that answered"
        )));
    };
    if !fleet.request_stop(control) {
        return Err(Failure::other(format!(
            "entry VM {member} at {control} did not answer"
        )));
    }
    let line = format!("entry VM {member} is leaving");
    Ok((
        Report::new(&[line], serde_json::json!({ "leaving": member })),
        0,
    ))
}

fn explain(platform: &HttpPlatform, flow: &str) -> Result<(Report, u8), Failure> {
    if trace::parse_flow(flow).is_none() {
        return Err(Failure::other(format!(
            "flow {flow:?}: expected tcp,CALLER_IP:PORT,SERVICE_IP:PORT or udp,..."
        )));
    }
    Ok((report::explain(&fleet(platform)?.explain(flow)), 0))
}

/// Replays traces; stops at the first one that is invalid or diverges.
fn replay(files: &[String]) -> Result<(Report, u8), Failure> {
    let mut lines = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(path)
            .map_err(|err| Failure::other(format!("{path}: {err}")))?;
        let outcome = trace::replay(&text).map_err(|err| Failure {
            code: exit::INVARIANT_VIOLATED,
            reason: format!("{path}: {err}"),
        })?;
        lines.push(format!(
            "{path}: {} events, {} packets forwarded, {} flows, each to one target",
            outcome.events, outcome.forwarded, outcome.flows
        ));
    }
    let json = serde_json::json!({ "replayed": files });
    Ok((Report::new(&lines, json), 0))
}

fn run_demo(boards: u32, surge: u32, step: u64) -> Result<(Report, u8), Failure> {
    let options = demo::Options {
        boards,
        surge: surge.max(1),
        step: Duration::from_secs(step.max(1)),
        ..demo::Options::default()
    };
    let started = std::time::Instant::now();
    let mut progress = |line: std::fmt::Arguments<'_>| {
        let seconds = started.elapsed().as_secs_f64();
        let _ = writeln!(io::stderr(), "[{seconds:5.1} s] {line}");
    };
    let outcome = demo::run(&options, &mut progress).map_err(Failure::other)?;
    let rows = outcome.rows();
    let lines: Vec<String> = rows
        .iter()
        .map(|(label, value, verdict)| {
            let verdict = match verdict {
                Verdict::Passed => "",
                Verdict::Missed => "missed",
                Verdict::Violated => "BROKEN",
            };
            format!("{label:<48} {value:>24}  {verdict}")
        })
        .collect();
    let json: serde_json::Map<String, serde_json::Value> = rows
        .iter()
        .map(|(label, value, _)| (label.clone(), value.clone().into()))
        .collect();
    let code = if outcome.invariants_held() {
        0
    } else {
        exit::INVARIANT_VIOLATED
    };
    Ok((Report::new(&lines, json), code))
}
