//! Replay of the recorded traces, and errors of altered ones.

use cicadaweir_proto::trace::{TraceError, replay};

fn traces() -> Vec<(String, String)> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut traces: Vec<(String, String)> = std::fs::read_dir(directory)
        .expect("the directory of traces must be readable")
        .map(|entry| entry.expect("the directory entry must be readable").path())
        .filter(|path| path.extension().is_some_and(|e| e == "jsonl"))
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("the trace must be readable");
            (path.display().to_string(), text)
        })
        .collect();
    traces.sort();
    traces
}

#[test]
fn every_trace_replays_to_the_same_actions() {
    let traces = traces();
    assert!(
        traces.len() >= 8,
        "expected at least 8 traces, found {}",
        traces.len()
    );
    for (path, text) in traces {
        let outcome = replay(&text).unwrap_or_else(|err| panic!("{path}: {err}"));
        assert!(outcome.flows > 20, "{path}: {outcome:?}");
    }
}

#[test]
fn the_first_diverging_line_is_reported() {
    let (_, text) = traces().remove(0);
    let index = text
        .lines()
        .position(|l| l.contains("\"forward t"))
        .expect("the trace must contain a forwarded packet");
    let changed: Vec<String> = text
        .lines()
        .enumerate()
        .map(|(n, l)| match n {
            n if n == index => l.replace("\"forward t", "\"forward x"),
            _ => l.to_owned(),
        })
        .collect();
    let Err(TraceError::Diverged { line, .. }) = replay(&changed.join("\n")) else {
        panic!("replay of the changed trace must diverge");
    };
    assert_eq!(line, index + 1);
}

#[test]
fn a_malformed_line_is_reported() {
    let (_, text) = traces().remove(0);
    let malformed = text.replacen("\"at\"", "\"ta\"", 1);
    assert!(matches!(
        replay(&malformed),
        Err(TraceError::Line { line: 2, .. })
    ));
}
