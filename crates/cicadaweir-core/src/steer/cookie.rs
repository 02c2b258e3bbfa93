//! The field of a packet that names its target.

use std::fmt;

/// The numeric identity of a target, from which its cookie is derived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(pub u64);

/// The value by which a packet names its target; [`Cookie::NONE`] names none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Cookie(pub u32);

impl Cookie {
    /// The cookie of a packet that no entry VM has placed.
    pub const NONE: Self = Self(0);

    /// Returns the cookie of a target: its identity, folded to 32 bits, and never
    /// [`Cookie::NONE`].
    ///
    /// Two identities can have the same cookie; [`super::Directory`] then adds
    /// only the first of these targets.
    pub const fn of(identity: Identity) -> Self {
        let folded = (identity.0 ^ (identity.0 >> 32)) as u32;
        if folded == 0 { Self(1) } else { Self(folded) }
    }

    /// Returns whether the packet names a target.
    pub const fn is_some(self) -> bool {
        self.0 != 0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
