//! Non-blocking, rate-limited log output.

mod pipe;
mod rate_limit;

use std::io::Write;

use env_logger::{Builder, Env, Target};

pub use pipe::{BoundedPipe, FlushHandle};
pub use rate_limit::{LineKind, RateLimiter};

/// The capacity of the queue to standard output, in lines. Lines beyond it are
/// dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Starts logging to standard output: one line per record, the message followed
/// by its key-value pairs. Returns a handle that flushes the output; call it
/// before the process exits.
///
/// # Panics
///
/// If a logger is already set.
pub fn start() -> FlushHandle {
    let pipe = BoundedPipe::start(std::io::stdout(), MAX_QUEUED_LINES);
    let flush_handle = pipe.flush_handle();
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(pipe)))
        .format(|buf, record| {
            let at = buf.timestamp_millis();
            write!(buf, "{at} {} {}", record.level(), record.args())?;
            record
                .key_values()
                .visit(&mut Pairs(buf))
                .map_err(std::io::Error::other)?;
            writeln!(buf)
        })
        .init();
    flush_handle
}

/// Writes key-value pairs after a message.
struct Pairs<'a, W>(&'a mut W);

impl<'a, W: Write> log::kv::VisitSource<'a> for Pairs<'_, W> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'a>,
        value: log::kv::Value<'a>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::from)
    }
}
