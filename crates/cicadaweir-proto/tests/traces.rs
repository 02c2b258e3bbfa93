//! The library of traces, and what replay says of a wrong one.

use cicadaweir_proto::trace::{TraceError, replay};

fn traces() -> Vec<(String, String)> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut traces: Vec<(String, String)> = std::fs::read_dir(folder)
        .expect("the folder of traces")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|e| e == "jsonl"))
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("a trace");
            (path.display().to_string(), text)
        })
        .collect();
    traces.sort();
    traces
}

#[test]
fn every_trace_replays_to_the_same_actions() {
    let traces = traces();
    assert!(traces.len() >= 8, "only {} traces", traces.len());
    for (path, text) in traces {
        let outcome = replay(&text).unwrap_or_else(|err| panic!("{path}: {err}"));
        assert!(outcome.flows > 20, "{path}: {outcome:?}");
    }
}

#[test]
fn the_first_line_that_departs_is_named() {
    let (_, text) = traces().remove(0);
    let at = text
        .lines()
        .position(|l| l.contains("\"forward t"))
        .expect("some packet is forwarded");
    let changed: Vec<String> = text
        .lines()
        .enumerate()
        .map(|(n, l)| match n {
            n if n == at => l.replace("\"forward t", "\"forward x"),
            _ => l.to_owned(),
        })
        .collect();
    let Err(TraceError::Departed { line, .. }) = replay(&changed.join("\n")) else {
        panic!("a changed trace departs");
    };
    assert_eq!(line, at + 1);
}

#[test]
fn a_damaged_line_is_named() {
    let (_, text) = traces().remove(0);
    let damaged = text.replacen("\"at\"", "\"ta\"", 1);
    assert!(matches!(
        replay(&damaged),
        Err(TraceError::Line { line: 2, .. })
    ));
}
