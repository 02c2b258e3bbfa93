//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

/// A record with the time of each line, and the number of breaks of the rule.
#[derive(Clone)]
pub struct Record {
    out: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
    breaks: Arc<AtomicU32>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file =
            File::create(path).unwrap_or_else(|err| crate::cannot_run(&format!("{path}: {err}")));
        Self {
            out: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
            breaks: Arc::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:9.4} {text}", self.now());
    }

    /// Writes a line on a break of the rule, and counts it.
    pub fn broken(&self, text: &str) {
        self.breaks.fetch_add(1, Ordering::SeqCst);
        self.line(&format!("RULE BROKEN: {text}"));
    }

    pub fn breaks(&self) -> u32 {
        self.breaks.load(Ordering::SeqCst)
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
