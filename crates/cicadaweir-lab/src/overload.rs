//! Overload of targets behind entry VMs that steer by cookie, in virtual time.
//!
//! A run drives one real [`cicadaweir_core::steer::Steering`] for each entry VM.
//! Callers open a flow for each request, come back at once when they are refused,
//! and give up at their timeout. Targets have slots and a short queue; they reject
//! what doesn't fit, and refuse connections beyond that.
//!
//! | type | contents |
//! |---|---|
//! | [`Site`] | entry VMs, targets and delays |
//! | [`Load`] | the rate of requests over time, and what happens meanwhile |
//! | [`Outcome`] | how requests ended, by the time at which they were made |
//! | [`curve`] | goodput against offered load, for several policies |

pub mod curve;
mod load;
mod outcome;
mod site;
mod target;
mod world;

pub use load::{Class, Load, Trouble};
pub use outcome::{Counts, Outcome};
pub use site::Site;
pub use world::run;
