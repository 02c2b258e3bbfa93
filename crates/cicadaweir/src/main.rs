//! The command-line tool; its commands follow.

fn main() {}
