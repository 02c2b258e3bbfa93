//! A writer that passes lines to a thread and drops them when its queue is full.

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

/// The interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A non-blocking writer in front of an output that may block.
#[derive(Debug)]
pub struct BoundedPipe {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Numbers of lines by outcome; `dropped` counts since the last report.
#[derive(Debug, Default)]
struct Counts {
    accepted: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Flushes a pipe before the process exits, so that the last lines, which give
/// the cause of the exit, are not dropped.
#[derive(Debug)]
pub struct FlushHandle(Arc<Counts>);

impl FlushHandle {
    /// Waits until the lines accepted so far are written, for at most `timeout`:
    /// an output that is not read must not keep the process from exiting.
    /// Returns whether all were written.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let accepted = self.0.accepted.load(Ordering::SeqCst);
        loop {
            if self.0.written.load(Ordering::SeqCst) >= accepted {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl BoundedPipe {
    /// Starts the thread that writes to `out`, with a queue of at most
    /// `capacity` lines.
    pub fn start(out: impl Write + Send + 'static, capacity: usize) -> Self {
        let (tx, rx) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::spawn(move || write_lines(&rx, out, &shared));
        Self { tx, counts }
    }

    /// Returns a handle that flushes the pipe.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle(Arc::clone(&self.counts))
    }
}

impl Write for BoundedPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(buf.to_vec()) {
            Ok(()) => self.counts.accepted.fetch_add(1, Ordering::SeqCst),
            Err(_) => self.counts.dropped.fetch_add(1, Ordering::Relaxed),
        };
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write, counts: &Counts) {
    while let Ok(line) = rx.recv() {
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                out,
                "log lines dropped because the output was too slow count={dropped}"
            );
        }
        // A write error can't be reported: this output is the only log sink.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counts.written.fetch_add(1, Ordering::SeqCst);
    }
}
