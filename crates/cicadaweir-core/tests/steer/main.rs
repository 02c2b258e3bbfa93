//! Steering by cookie.

mod affinity;
mod directory;
mod flows;
mod openings;
mod properties;
mod suspicion;
mod waiting;
mod world;
