//! Steering by cookie.

mod admission;
mod affinity;
mod combinations;
mod directory;
mod flows;
mod openings;
mod pending;
mod properties;
mod reuse;
mod support;
mod suspicion;
