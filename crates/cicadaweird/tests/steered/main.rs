//! The daemon for packets that name their target, as real processes against a
//! small store.

mod feed;
mod packets;
mod site;
mod stops;
mod store;
