//! Steering by cookie.

mod admission;
mod affinity;
mod directory;
mod flows;
mod openings;
mod pending;
mod properties;
mod reuse;
mod support;
mod suspicion;
