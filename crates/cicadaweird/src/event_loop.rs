//! Running the `stakker` event loop.

use std::{
    io,
    time::{Duration, Instant},
};

use stakker::Stakker;
use stakker_mio::MioPoll;

/// Runs the event loop until an actor shuts it down. One poll blocks for at
/// most `max_wait`.
///
/// # Errors
///
/// Returns the operating system's error if polling fails.
pub fn run_until_shutdown(s: &mut Stakker, poll: &MioPoll, max_wait: Duration) -> io::Result<()> {
    let mut idle_pending = s.run(Instant::now(), false);
    let mut io_pending = false;
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), max_wait, idle_pending || io_pending);
        let (activity, pending) = poll.poll(wait)?;
        io_pending = pending;
        idle_pending = s.run(Instant::now(), !activity);
    }
    Ok(())
}
