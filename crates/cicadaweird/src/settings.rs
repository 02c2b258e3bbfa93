//! Parsing and validating the settings file.

mod carrier;
mod check;
mod cookie;
mod error;
mod file;

pub use carrier::Carrier;
pub use cookie::{CookieLimits, CookieListen, CookieSettings, NamedMember, StoreSettings};
pub use error::SettingsError;
pub use file::{Limits, Listen, MemberSettings, Metrics, Platform, Settings, Trace};
