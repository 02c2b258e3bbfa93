//! The state machine of one entry VM: it takes events and returns actions.
//!
//! It performs no I/O and reads no clock; a driver passes in the time, the
//! packets and the messages, and carries out the actions.

mod ambiguous;
mod counters;
mod guard;
mod health;
mod loads;
mod lookup;
mod marks;
mod members;
mod notes;
mod options;
mod owners;
mod packets;
mod phases;
mod placing;
mod probers;
mod recovery;
mod silence;
mod snapshots;
mod status;
mod transfers;

use indexmap::IndexMap;

pub use counters::Counters;
pub use guard::Guard;
pub use options::Options;
pub use status::{Explanation, Status, TargetStatus};

use crate::{
    agreement::Agreement,
    catalog::{Catalog, Part},
    flow::FlowTable,
    hash::HashKey,
    load::MarkUpdate,
    membership::{Detector, Dissemination, MemberUpdate, Phase, SlotTable, View},
    prelude::*,
};

use health::TargetHealth;
use lookup::Lookups;
use members::PeerExchange;
use notes::RetainedNote;
use probers::Probers;
use recovery::Recovery;

/// The interval at which a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The state of one entry VM.
#[derive(Debug, Clone)]
pub struct Node {
    options: Options,
    hash_key: HashKey,
    /// The start of this process in milliseconds since 1970, which is the member's
    /// first incarnation.
    start_unix_ms: u64,
    /// The start of this process on the driver's clock.
    start_instant: Instant,
    /// When this member last began to join.
    joining_since: Instant,
    last_tick: Instant,
    /// Since when this member's state may be stale: from a start or the end of a
    /// pause until another member answers a probe, or there is none to wait for.
    /// Meanwhile this member places no flows.
    stale_since: Option<Instant>,
    view: View,
    detector: Detector,
    dissemination: Dissemination,
    exchange: PeerExchange,
    slots: SlotTable,
    agreement: Agreement,
    catalog: Catalog,
    /// Recent release notes in ascending revisions, kept to serve peers.
    notes: Vec<RetainedNote>,
    /// When notes or snapshot parts were last requested, while the request is
    /// unanswered.
    notes_requested_at: Option<Instant>,
    /// Parts of a peer's catalog received so far, while this member joins.
    snapshot_parts: Vec<Part>,
    flows: FlowTable,
    lookups: Lookups,
    recovery: Recovery,
    /// Indexed by [`TargetKey`].
    targets: Vec<TargetHealth>,
    /// Marks to gossip, each with the number of transmissions left. The key's
    /// flag states whether the finding is remote.
    pending_marks: IndexMap<(TargetKey, bool), (MarkUpdate, u32)>,
    /// Marks to send along the tree on the next tick.
    urgent_marks: Vec<MarkUpdate>,
    /// Loads to gossip, each with the number of transmissions left.
    pending_loads: IndexMap<TargetKey, u32>,
    probers: Probers,
    watching_store: bool,
    counters: Counters,
}

impl Node {
    /// Returns a joining entry VM that knows only its own record.
    pub fn new(options: Options, hash_key: HashKey, me: MemberUpdate, now: Instant) -> Self {
        let seed = derive_seed(&hash_key, me.id);
        Self {
            hash_key,
            start_unix_ms: me.incarnation,
            start_instant: now,
            joining_since: now,
            last_tick: now,
            stale_since: Some(now),
            view: View::new(
                MemberUpdate {
                    phase: Phase::Joining,
                    ..me
                },
                now,
            ),
            detector: Detector::new(options.membership, seed),
            dissemination: Dissemination::default(),
            exchange: PeerExchange::default(),
            slots: SlotTable::default(),
            agreement: Agreement::new(options.agreement),
            catalog: Catalog::new(options.placement),
            notes: Vec::new(),
            notes_requested_at: None,
            snapshot_parts: Vec::new(),
            flows: FlowTable::new(options.max_flows, options.expiry),
            lookups: Lookups::default(),
            recovery: Recovery::default(),
            targets: Vec::new(),
            pending_marks: IndexMap::new(),
            urgent_marks: Vec::new(),
            pending_loads: IndexMap::new(),
            probers: Probers::default(),
            watching_store: false,
            counters: Counters::default(),
            options,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::FromCaller { packet, info } => {
                self.handle_caller_packet(now, packet, &info, None, out)
            }
            Event::Relayed {
                packet,
                info,
                header,
            } => self.handle_caller_packet(now, packet, &info, Some(header), out),
            Event::FromTarget { packet, info, from } => {
                self.handle_target_packet(now, packet, &info, &from, out);
            }
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::List(list) => self.apply_member_list(now, &list),
            Event::Note(note) => self.handle_store_note(now, note, out),
            Event::Snapshot(parts) => self.install_snapshot(now, &parts, Revision::default(), out),
            Event::Probed { target, result } => self.handle_probe_result(now, target, result),
            Event::Tick => self.tick(now, out),
            Event::Leave => self.start_leaving(now, out),
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now.since(self.last_tick) > self.options.pause_threshold {
            self.resume_after_pause(now);
        }
        self.last_tick = now;
        self.tick_members(now, out);
        self.tick_agreement(now, out);
        self.tick_notes(now, out);
        self.tick_recovery(now, out);
        self.tick_lookups(now, out);
        self.tick_health(now, out);
        self.tick_marks(out);
        self.tick_flows(now, out);
    }

    /// Returns whether a guard is enabled; tests disable one at a time.
    fn guard_enabled(&self, guard: Guard) -> bool {
        self.options.disabled_guard != Some(guard)
    }

    /// Returns the catalog.
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the membership view.
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the flow table.
    pub const fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Returns the counters.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the newest revision in force on this member.
    pub const fn in_force(&self) -> Revision {
        self.agreement.agreed()
    }

    /// Returns this member's phase.
    pub fn phase(&self) -> Phase {
        self.view.my_record().phase
    }
}

/// Derives the seed of a member's failure detector.
fn derive_seed(key: &HashKey, id: MemberId) -> u64 {
    let word = u64::from_le_bytes(key.0[..8].try_into().expect("8 bytes"));
    crate::hash::mix(word, u64::from(id.0))
}
