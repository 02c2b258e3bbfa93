//! Exit codes: one table from what went wrong to the code.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | wrong arguments, or an error that no other code names |
//! | 2 | a setting is not allowed |
//! | 3 | a release note is invalid |
//! | 4 | a release note builds on an old revision |
//! | 5 | the platform did not answer |
//! | 6 | a value in the store does not decode |
//! | 7 | not every reachable entry VM has the revision in force |
//! | 8 | an invariant broke |

use cicadaweir_core::error::{Disposition, ErrorKind};

/// The exit code for everything without a code of its own.
pub const OTHER: u8 = 1;

/// The exit code when waiting for a revision ended early.
pub const NOT_IN_FORCE: u8 = 7;

/// The exit code when an invariant broke.
pub const INVARIANT: u8 = 8;

/// Returns the exit code for a kind of error.
pub const fn code(kind: ErrorKind) -> u8 {
    match (kind, kind.disposition()) {
        (_, Disposition::Exit(code)) => code,
        (ErrorKind::StoreUnavailable, _) => 5,
        (ErrorKind::StoreMalformed, _) => 6,
        _ => OTHER,
    }
}
