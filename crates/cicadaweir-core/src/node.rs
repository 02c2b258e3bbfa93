//! One entry VM's decisions behind one event loop.

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

use health::TargetState;
use lookup::Lookups;
use members::Relations;
use notes::HeldNote;
use probers::Probers;
use recovery::Recovery;

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// One entry VM.
#[derive(Debug, Clone)]
pub struct Node {
    options: Options,
    hash_key: HashKey,
    /// The start in milliseconds since 1970, and on the driver's clock.
    start_ms: u64,
    created: Instant,
    /// When this member began to join.
    started: Instant,
    last_tick: Instant,
    /// Set after a start or a pause until another member has been heard.
    behind_since: Option<Instant>,
    view: View,
    detector: Detector,
    dissemination: Dissemination,
    relations: Relations,
    slots: SlotTable,
    agreement: Agreement,
    catalog: Catalog,
    notes: Vec<HeldNote>,
    notes_asked: Option<Instant>,
    /// Parts of a peer's catalog, while a newcomer collects them.
    parts: Vec<Part>,
    flows: FlowTable,
    lookups: Lookups,
    recovery: Recovery,
    targets: Vec<TargetState>,
    mark_news: IndexMap<(TargetKey, bool), (MarkUpdate, u32)>,
    urgent_marks: Vec<MarkUpdate>,
    load_news: IndexMap<TargetKey, u32>,
    probers: Probers,
    watching: bool,
    counters: Counters,
}

impl Node {
    /// Makes an entry VM that knows its own record and nothing else.
    pub fn new(options: Options, hash_key: HashKey, me: MemberUpdate, now: Instant) -> Self {
        let seed = hash_key_seed(&hash_key, me.id);
        Self {
            hash_key,
            start_ms: me.incarnation,
            created: now,
            started: now,
            last_tick: now,
            behind_since: Some(now),
            view: View::new(
                MemberUpdate {
                    phase: Phase::Joining,
                    ..me
                },
                now,
            ),
            detector: Detector::new(options.membership, seed),
            dissemination: Dissemination::default(),
            relations: Relations::default(),
            slots: SlotTable::default(),
            agreement: Agreement::new(options.agreement),
            catalog: Catalog::new(options.placement),
            notes: Vec::new(),
            notes_asked: None,
            parts: Vec::new(),
            flows: FlowTable::new(options.max_flows, options.expiry),
            lookups: Lookups::default(),
            recovery: Recovery::default(),
            targets: Vec::new(),
            mark_news: IndexMap::new(),
            urgent_marks: Vec::new(),
            load_news: IndexMap::new(),
            probers: Probers::default(),
            watching: false,
            counters: Counters::default(),
            options,
        }
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::FromCaller { packet, info } => self.caller_packet(now, packet, &info, None, out),
            Event::Relayed {
                packet,
                info,
                header,
            } => self.caller_packet(now, packet, &info, Some(header), out),
            Event::FromTarget { packet, info, from } => {
                self.target_packet(now, packet, &info, &from, out);
            }
            Event::Message { from, message } => self.message(now, from, message, out),
            Event::List(list) => self.list(now, &list),
            Event::Note(note) => self.note_from_store(now, note, out),
            Event::Snapshot(parts) => self.install(now, &parts, Revision::default(), out),
            Event::Probed { target, result } => self.probed(now, target, result),
            Event::Tick => self.tick(now, out),
            Event::Leave => self.leave(now, out),
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now.since(self.last_tick) > self.options.pause_limit {
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

    /// Returns whether a guard is in place; proofs take one away.
    fn guards(&self, guard: Guard) -> bool {
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

    /// Returns the newest revision in force here.
    pub const fn in_force(&self) -> Revision {
        self.agreement.agreed()
    }

    /// Returns this member's phase.
    pub fn phase(&self) -> Phase {
        self.view.my_record().phase
    }
}

/// Derives the seed of a member's random choices.
fn hash_key_seed(key: &HashKey, id: MemberId) -> u64 {
    let word = u64::from_le_bytes(key.0[..8].try_into().expect("8 bytes"));
    crate::hash::mix(word, u64::from(id.0))
}
