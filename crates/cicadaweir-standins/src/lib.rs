//! Small test doubles for the components around cicadaweir: the platform's
//! services, the packet fabric, targets and callers. Tests and the demo run
//! them on one machine over loopback, in real time; they do not simulate a
//! network.
//!
//! | module | replaces |
//! |---|---|
//! | [`platform`] | the key-value service and the membership list, over HTTP |
//! | [`store`] | the key-value store of the users' platform, with injectable faults |
//! | [`steered`] | a site with daemon processes in cookie mode, such a store, targets and a caller |
//! | [`fabric`] | the network that distributes packets randomly over the entry VMs |
//! | [`target`] | a target with slots, connections and a load endpoint |
//! | [`caller`] | a pool of callers, each with one flow |
//! | [`segment`] | the packets that callers and targets exchange |
//! | [`site`] | the addresses and settings of a site on loopback |
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
