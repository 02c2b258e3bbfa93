//! Log lines on their way out.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cicadaweird::logs::BoundedPipe;

/// An output that takes its time for each line, or forever.
#[derive(Clone)]
struct Slow {
    each: Duration,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(self.each);
        let mut lines = self.lines.lock().expect("one writer");
        lines.push(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn slow(each: Duration) -> Slow {
    Slow {
        each,
        lines: Arc::default(),
    }
}

// Found by a run of all tests beside many processes: a daemon had ended before
// its last line was written.
#[test]
fn the_last_lines_are_written_before_the_end() {
    let out = slow(Duration::from_millis(20));
    let mut pipe = BoundedPipe::start(out.clone(), 64);
    let flush_handle = pipe.flush_handle();
    for n in 0..5 {
        pipe.write_all(format!("line {n}").as_bytes())
            .expect("never fails");
    }
    assert!(flush_handle.flush(Duration::from_secs(30)));
    let lines = out.lines.lock().expect("one writer");
    assert_eq!(lines.last().map(String::as_str), Some("line 4"));
}

#[test]
fn an_output_that_nobody_reads_does_not_hold_the_end() {
    let mut pipe = BoundedPipe::start(slow(Duration::from_secs(3_600)), 2);
    let flush_handle = pipe.flush_handle();
    for _ in 0..10 {
        pipe.write_all(b"line").expect("never fails");
    }
    assert!(!flush_handle.flush(Duration::from_millis(50)));
}
