//! Log lines that never block and stay bounded.

mod budget;
mod pipe;

use std::io::Write;

use env_logger::{Builder, Env, Target};

pub use budget::{Budget, Kind};
pub use pipe::{BoundedPipe, FlushHandle};

/// Lines that may wait for standard output.
const WAITING_LINES: usize = 4_096;

/// Starts logging to standard output: one line a record, the message first
/// and then its keys with their values. Returns the end of the output, to be
/// waited for before the process ends.
pub fn start() -> FlushHandle {
    let pipe = BoundedPipe::start(std::io::stdout(), WAITING_LINES);
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

/// Writes keys and values behind a message.
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
