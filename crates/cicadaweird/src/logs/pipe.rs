//! A writer that hands lines to a thread and drops them when it lags.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines towards a writer that may block.
#[derive(Debug)]
pub struct BoundedPipe {
    tx: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl BoundedPipe {
    /// Starts the thread that writes; at most `lines` wait for it.
    pub fn start(out: impl Write + Send + 'static, lines: usize) -> Self {
        let (tx, rx) = sync_channel(lines);
        let lost = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&lost);
        thread::spawn(move || copy(&rx, out, &shared));
        Self { tx, lost }
    }
}

impl Write for BoundedPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn copy(rx: &Receiver<Vec<u8>>, mut out: impl Write, lost: &AtomicU64) {
    while let Ok(line) = rx.recv() {
        let missing = lost.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let _ = writeln!(out, "lines lost because the output lagged count={missing}");
        }
        // Nobody is left to be told if standard output is closed.
        let _ = out.write_all(&line).and_then(|()| out.flush());
    }
}
