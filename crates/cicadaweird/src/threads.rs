//! Threads whose panics end in a log line and a defined state.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    thread,
};

use log::error;

/// Logs every panic, instead of the plain text that the standard library writes.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let thread = thread::current();
        let name = thread.name().unwrap_or("unnamed");
        error!(thread = name; "panic: {info}");
    }));
}

/// Starts a named thread. If `run` panics, `on_panic` is called, so that the process
/// doesn't stay up without what the thread does.
pub fn spawn(
    name: &'static str,
    on_panic: impl FnOnce() + Send + 'static,
    run: impl FnOnce() + Send + 'static,
) {
    let body = move || {
        // Nothing that `run` has borrowed is used after a panic but by `on_panic`,
        // which only reports it.
        if catch_unwind(AssertUnwindSafe(run)).is_err() {
            on_panic();
        }
    };
    if let Err(err) = thread::Builder::new().name(name.to_owned()).spawn(body) {
        panic!("thread {name} could not be started: {err}");
    }
}
