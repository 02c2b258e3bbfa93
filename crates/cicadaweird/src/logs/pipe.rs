//! A writer that hands lines to a thread and drops them when it lags.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// How often the end of a pipe looks whether all lines are out.
const LOOK: Duration = Duration::from_millis(2);

/// Lines towards a writer that may block.
#[derive(Debug)]
pub struct BoundedPipe {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// What has become of the lines.
#[derive(Debug, Default)]
struct Counts {
    taken: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

/// The end of a pipe, for the end of the process: its last lines tell why.
#[derive(Debug)]
pub struct FlushHandle(Arc<Counts>);

impl FlushHandle {
    /// Waits until the lines taken so far are written, for `limit` at most: an
    /// output that nobody reads must not hold the process. Returns whether
    /// they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let taken = self.0.taken.load(Ordering::SeqCst);
        loop {
            if self.0.written.load(Ordering::SeqCst) >= taken {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(LOOK);
        }
    }
}

impl BoundedPipe {
    /// Starts the thread that writes; at most `lines` wait for it.
    pub fn start(out: impl Write + Send + 'static, lines: usize) -> Self {
        let (tx, rx) = sync_channel(lines);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::spawn(move || copy(&rx, out, &shared));
        Self { tx, counts }
    }

    /// Returns the pipe's end.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle(Arc::clone(&self.counts))
    }
}

impl Write for BoundedPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(buf.to_vec()) {
            Ok(()) => self.counts.taken.fetch_add(1, Ordering::SeqCst),
            Err(_) => self.counts.lost.fetch_add(1, Ordering::Relaxed),
        };
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn copy(rx: &Receiver<Vec<u8>>, mut out: impl Write, counts: &Counts) {
    while let Ok(line) = rx.recv() {
        let missing = counts.lost.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let _ = writeln!(out, "lines lost because the output lagged count={missing}");
        }
        // Nobody is left to be told if standard output is closed.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counts.written.fetch_add(1, Ordering::SeqCst);
    }
}
