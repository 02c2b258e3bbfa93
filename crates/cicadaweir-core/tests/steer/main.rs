//! Steering by cookie.

mod directory;
mod flows;
mod openings;
mod properties;
mod suspicion;
mod waiting;
mod world;
