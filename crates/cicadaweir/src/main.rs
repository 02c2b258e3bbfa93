//! The command-line tool for operators.

mod arguments;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = arguments::arguments().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    commands::run(arguments)
}
