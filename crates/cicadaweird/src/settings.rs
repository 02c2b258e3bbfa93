//! The settings file.

mod check;
mod error;
mod file;

pub use error::SettingsError;
pub use file::{Limits, Listen, MemberSettings, Metrics, Platform, Settings, Trace};
