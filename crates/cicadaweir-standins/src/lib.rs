//! Small stand-ins for what surrounds cicadaweir: the platform's services,
//! the fabric, targets and callers. They serve tests and the demo on one
//! machine, over loopback; they are no simulator.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the key-value service and the membership list, over HTTP |
//! | [`store`] | the users' platform's key-value store, with its troubles |
//! | [`steered`] | a site of daemon processes around such a store |
//! | [`fabric`] | the network that sprays packets over the entry VMs |
//! | [`target`] | a target with slots, connections and a load endpoint |
//! | [`caller`] | many callers, each with one flow |
//! | [`segment`] | the packets that callers and targets exchange |
//! | [`site`] | addresses and settings of a whole site on loopback |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod fabric;
pub mod platform;
pub mod segment;
mod serve;
pub mod site;
pub mod steered;
pub mod store;
pub mod target;
