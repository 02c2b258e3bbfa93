//! Exit codes of the command-line tool.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | invalid arguments, or an error without a code of its own |
//! | 2 | a setting is invalid |
//! | 3 | a release note is invalid |
//! | 4 | a release note is based on an old revision |
//! | 5 | the platform did not answer |
//! | 6 | a value in the store cannot be decoded |
//! | 7 | a revision is not in force on every reachable entry VM, or `steered` got no answer from an entry VM |
//! | 8 | an invariant is violated |

use cicadaweir_core::error::{Disposition, ErrorKind};

/// The exit code of errors without a code of their own.
pub const OTHER: u8 = 1;

/// The exit code if a revision is not in force on every reachable entry VM before
/// the timeout, or if an entry VM does not report its state.
pub const NOT_IN_FORCE: u8 = 7;

/// The exit code if an invariant is violated, or a replay diverges from its trace.
pub const INVARIANT_VIOLATED: u8 = 8;

/// Returns the exit code of a kind of error.
pub const fn code(kind: ErrorKind) -> u8 {
    match (kind, kind.disposition()) {
        (_, Disposition::Exit(code)) => code,
        (ErrorKind::StoreUnavailable, _) => 5,
        (ErrorKind::StoreMalformed, _) => 6,
        _ => OTHER,
    }
}
