//! Flushing of log lines before the process exits.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cicadaweird::logs::BoundedPipe;

/// An output that blocks for `delay` on each line.
#[derive(Clone)]
struct SlowOutput {
    delay: Duration,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(self.delay);
        let mut lines = self.lines.lock().expect("the lock is not poisoned");
        lines.push(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn slow_output(delay: Duration) -> SlowOutput {
    SlowOutput {
        delay,
        lines: Arc::default(),
    }
}

// On a busy machine a daemon exited before its last line was written.
#[test]
fn a_flush_waits_until_the_last_line_is_written() {
    let out = slow_output(Duration::from_millis(20));
    let mut pipe = BoundedPipe::start(out.clone(), 64);
    let flush_handle = pipe.flush_handle();
    for n in 0..5 {
        pipe.write_all(format!("line {n}").as_bytes())
            .expect("writing to the pipe never fails");
    }
    assert!(flush_handle.flush(Duration::from_secs(30)));
    let lines = out.lines.lock().expect("the lock is not poisoned");
    assert_eq!(lines.last().map(String::as_str), Some("line 4"));
}

#[test]
fn a_flush_of_a_blocked_output_times_out() {
    let mut pipe = BoundedPipe::start(slow_output(Duration::from_secs(3_600)), 2);
    let flush_handle = pipe.flush_handle();
    for _ in 0..10 {
        pipe.write_all(b"line")
            .expect("writing to the pipe never fails");
    }
    assert!(!flush_handle.flush(Duration::from_millis(50)));
}
