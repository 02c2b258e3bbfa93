//! Whole histories of the store, with odd items of other writers in between, through
//! the decoders, the mirror, the directory and steering. `PROPTEST_CASES` sets the
//! number of histories.

use std::collections::BTreeMap;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use cicadaweir_core::{
    flow::{Endpoint, FlowKey, Protocol},
    mirror::{Call, Mirror, Options, StoreResponse},
    packet::{PacketKind, PacketRef},
    steer::{self, Cookie, Segment, Steering, Verdict},
    time::Instant,
};
use cicadaweird::steered::{StoreAnswer, StoreUpdate};
use proptest::prelude::*;
use serde_json::json;

/// The largest number of items on a page of the store.
const PAGE_ITEMS: usize = 4;

/// The number of target keys.
const TARGETS: u8 = 12;

/// The port of the only route.
const PORT: u16 = 8_443;

/// A value that a writer leaves under a key.
#[derive(Debug, Clone)]
enum Written {
    /// An entry as targets write it, of one of two services.
    Valid { service: bool, born: u64 },
    /// An entry with one odd field.
    OddField { field: usize, value: usize },
    /// Bytes that are no entry.
    Bytes(Vec<u8>),
    /// Very deep nesting.
    Nested,
    /// More bytes than an entry has.
    Large,
}

/// A change of the store, or what happens to the reader.
#[derive(Debug, Clone)]
enum Step {
    Write {
        target: u8,
        written: Written,
    },
    WriteElsewhere {
        bytes: Vec<u8>,
    },
    Remove {
        target: u8,
    },
    Routes {
        idle_timeout_ms: u64,
    },
    BadRoutes,
    /// The reader makes its next call.
    Read,
    /// An item of the next response is damaged on the way.
    Damage {
        at: usize,
        kind: usize,
    },
    Fail,
    Compact,
    Open {
        caller: u16,
    },
    Tick {
        millis: u64,
    },
}

/// Odd values, as JSON texts.
const ODD: [&str; 12] = [
    "1e300",
    "-1",
    "18446744073709551615",
    "1e400",
    "null",
    "[]",
    "\"\"",
    "\"10.0.0.1:99999\"",
    "4294967295",
    "{}",
    "0.5",
    "\"draining\"",
];

/// The fields of an entry.
const FIELDS: [&str; 8] = [
    "service",
    "address",
    "zone",
    "slots",
    "state",
    "warmupLeftMs",
    "seq",
    "born",
];

fn written() -> impl Strategy<Value = Written> {
    prop_oneof![
        6 => (any::<bool>(), 0..3u64).prop_map(|(service, born)| Written::Valid { service, born }),
        4 => (0..FIELDS.len(), 0..ODD.len())
            .prop_map(|(field, value)| Written::OddField { field, value }),
        1 => prop::collection::vec(any::<u8>(), 0..40).prop_map(Written::Bytes),
        1 => Just(Written::Nested),
        1 => Just(Written::Large),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..TARGETS, written()).prop_map(|(target, written)| Step::Write { target, written }),
        1 => prop::collection::vec(any::<u8>(), 0..20).prop_map(|bytes| Step::WriteElsewhere { bytes }),
        2 => (0..TARGETS).prop_map(|target| Step::Remove { target }),
        1 => prop_oneof![Just(9_000), Just(u64::MAX), any::<u64>()]
            .prop_map(|idle_timeout_ms| Step::Routes { idle_timeout_ms }),
        1 => Just(Step::BadRoutes),
        8 => Just(Step::Read),
        2 => (0..8usize, 0..6usize).prop_map(|(at, kind)| Step::Damage { at, kind }),
        1 => Just(Step::Fail),
        1 => Just(Step::Compact),
        4 => (0..2_000u16).prop_map(|caller| Step::Open { caller }),
        3 => (0..3_000u64).prop_map(|millis| Step::Tick { millis }),
    ]
}

/// One key of the store.
#[derive(Debug, Clone)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    is_valid: bool,
}

struct World {
    stored: BTreeMap<String, Stored>,
    /// Changed keys with their revisions; those of removals too.
    history: Vec<(String, u64)>,
    revision: u64,
    compacted: u64,
    version: u64,
    damage: Option<(usize, usize)>,
    now: u64,
    mirror: Mirror,
    vm: Steering,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            stored: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
            compacted: 0,
            version: 0,
            damage: None,
            now: 0,
            mirror: Mirror::new(Options::default(), 1),
            vm: Steering::new(steer::Options::default(), "a", 1),
        };
        world.put_routes(9_000);
        world
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now * 1_000)
    }

    fn put(&mut self, key: String, value: Vec<u8>, is_valid: bool) {
        self.revision += 1;
        self.history.push((key.clone(), self.revision));
        let stored = Stored {
            value,
            revision: self.revision,
            is_valid,
        };
        self.stored.insert(key, stored);
    }

    fn put_routes(&mut self, idle_timeout_ms: u64) {
        self.version += 1;
        let routes = json!({"version": self.version, "services": [],
            "routes": [{"host": "198.18.0.1", "prefix": format!("/{PORT}/"), "type": "safe",
                "service": "classes", "aimMs": idle_timeout_ms, "priority": 2}],
            "limits": {"idleTimeoutMs": idle_timeout_ms}});
        self.put("op/config".into(), routes.to_string().into_bytes(), true);
    }

    fn write(&mut self, target: u8, written: &Written) {
        let entry = |service: &str, born: u64| {
            json!({"service": service, "address": format!("10.0.0.{target}:8602"),
                "zone": "a", "version": "v1", "slots": 2, "state": "ready", "warmupLeftMs": 0,
                "seq": 1, "born": born})
        };
        let (value, is_valid) = match written {
            Written::Valid { service, born } => {
                let service = if *service { "classes" } else { "sheets" };
                (entry(service, *born).to_string().into_bytes(), true)
            }
            Written::OddField { field, value } => {
                let mut odd = entry("classes", 1);
                odd[FIELDS[*field]] = json!("\u{1}");
                let text = odd.to_string().replace("\"\\u0001\"", ODD[*value]);
                // Some odd values are valid for some fields.
                (text.into_bytes(), false)
            }
            Written::Bytes(bytes) => (bytes.clone(), false),
            Written::Nested => {
                let levels = 5_000;
                let text = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
                (text.into_bytes(), false)
            }
            Written::Large => (vec![b' '; 100_000], false),
        };
        self.put(target_key(target), value, is_valid);
    }

    /// Returns an item as JSON text, damaged if that is due.
    fn item(&mut self, key: &str, at: usize) -> String {
        let revision = self.history.iter().rev().find(|(known, _)| known == key);
        let revision = revision.map_or(0, |(_, revision)| *revision);
        let text = match self.stored.get(key) {
            Some(stored) => json!({"key": key, "revision": stored.revision,
                "value": STANDARD.encode(&stored.value)}),
            None => json!({"key": key, "revision": revision, "deleted": true}),
        };
        match self.damage {
            Some((damaged, kind)) if damaged == at => {
                self.damage = None;
                let broken = [
                    json!({"key": key, "revision": revision, "value": "%%"}).to_string(),
                    json!({"key": key, "revision": revision, "value": [1]}).to_string(),
                    json!({"key": key, "revision": -4, "value": ""}).to_string(),
                    json!({"key": [key], "revision": revision}).to_string(),
                    "null".to_owned(),
                    "[[[]]]".to_owned(),
                ];
                let broken = broken[kind % broken.len()].clone();
                // The item comes again with the next change of its key.
                self.revision += 1;
                self.history.push((key.to_owned(), self.revision));
                if let Some(stored) = self.stored.get_mut(key) {
                    stored.revision = self.revision;
                }
                broken
            }
            _ => text.to_string(),
        }
    }

    /// Makes the mirror's next call.
    fn read(&mut self) {
        let now = self.instant();
        let answer = match self.mirror.next_call(now) {
            Call::Backoff(span) => {
                self.now += span.as_millis() + 1;
                return self.mirror.end_backoff();
            }
            Call::Range { after, .. } => {
                let after = after.unwrap_or_default();
                let as_of = self.revision;
                let mut keys = self.stored.keys().filter(|key| **key > after).cloned();
                let page: Vec<String> = keys.by_ref().take(PAGE_ITEMS).collect();
                let has_more = keys.next().is_some();
                drop(keys);
                let items = page.iter().enumerate();
                let items: Vec<String> = items.map(|(at, key)| self.item(key, at)).collect();
                let body = format!(
                    r#"{{"items":[{}],"hasMore":{has_more},"asOf":{as_of}}}"#,
                    items.join(",")
                );
                StoreAnswer::from_page(body.as_bytes())
            }
            Call::Watch { after, .. } if after < self.compacted => Ok(StoreAnswer {
                response: StoreResponse::Compacted,
                rejected: Vec::new(),
            }),
            Call::Watch { after, .. } => {
                let as_of = self.revision;
                let later = self
                    .history
                    .iter()
                    .filter(|(_, revision)| *revision > after);
                let mut keys: Vec<String> = later.map(|(key, _)| key.clone()).collect();
                keys.sort();
                keys.dedup();
                let items = keys.iter().enumerate();
                let items: Vec<String> = items.map(|(at, key)| self.item(key, at)).collect();
                let body = format!(r#"{{"events":[{}],"asOf":{as_of}}}"#, items.join(","));
                StoreAnswer::from_events(body.as_bytes())
            }
        };
        let answer = answer.expect("only items are damaged, not the response");
        self.handle(answer.response);
    }

    fn handle(&mut self, response: StoreResponse) {
        let now = self.instant();
        let (mut updates, mut rejected) = (Vec::new(), Vec::new());
        self.mirror.handle_response(now, response, &mut updates);
        let revision = self.mirror.revision();
        let update = StoreUpdate::new(&mut updates, now, revision, &mut rejected);
        for change in update.changes {
            self.vm.apply(now, change);
        }
        if update.complete {
            self.vm.mark_store_read();
        }
        if update.current {
            self.vm.record_store_view(now);
        }
    }

    fn open(&mut self, caller: u16) {
        let now = self.instant();
        let endpoint = |ip: [u8; 4], port| {
            Endpoint::from(std::net::SocketAddr::from((
                std::net::Ipv4Addr::from(ip),
                port,
            )))
        };
        let segment = Segment {
            flow: FlowKey {
                protocol: Protocol::Tcp,
                caller: endpoint([100, 64, 0, 7], 1_024 + caller),
                address: endpoint([198, 18, 0, 1], PORT),
            },
            kind: PacketKind::Opening,
            sequence: 1,
            ack: 0,
            copy: 0,
            cookie: Cookie::NONE,
        };
        let verdict = self.vm.packet(now, &segment);
        if let Verdict::Wait(_) = verdict {
            self.vm.enqueue(now, &segment, PacketRef(u32::from(caller)));
        }
        while let Some(next) = self.vm.next_pending(now) {
            if let Ok(pending) = next {
                self.vm.decide_pending(now, &pending);
            }
        }
        if let Verdict::Place { target, .. } = verdict {
            let entry = self.vm.directory().target(target).expect("a known target");
            assert!(entry.is_eligible());
            assert_eq!(self.vm.directory().service_name(entry.service), "classes");
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write { target, written } => self.write(target, &written),
            Step::WriteElsewhere { bytes } => self.put("other/key".into(), bytes, false),
            Step::Remove { target } => {
                let key = target_key(target);
                if self.stored.remove(&key).is_some() {
                    self.revision += 1;
                    self.history.push((key, self.revision));
                }
            }
            Step::Routes { idle_timeout_ms } => self.put_routes(idle_timeout_ms),
            Step::BadRoutes => self.put("op/config".into(), b"{\"version\":1e99}".to_vec(), false),
            Step::Read => self.read(),
            Step::Damage { at, kind } => self.damage = Some((at, kind)),
            Step::Fail => self.handle(StoreResponse::Failed),
            Step::Compact => self.compacted = self.revision,
            Step::Open { caller } => self.open(caller),
            Step::Tick { millis } => {
                self.now += millis;
                let now = self.instant();
                self.vm.tick(now);
            }
        }
    }

    /// Reads until the mirror is up to date, then compares the directory with the
    /// store.
    fn check(&mut self) {
        self.damage = None;
        for _ in 0..100 {
            self.now += 100;
            self.read();
        }
        assert_eq!(self.mirror.revision(), self.revision, "the reader follows");
        for target in 0..TARGETS {
            let name = format!("i-{:x}", 0x10 + u32::from(target));
            let stored = self.stored.get(&target_key(target));
            let directory = self.vm.directory();
            let known = directory
                .by_name(&name)
                .and_then(|key| directory.target(key));
            let is_known = known.is_some_and(steer::TargetEntry::is_eligible);
            match stored {
                Some(stored) if stored.is_valid => {
                    assert!(is_known, "a valid entry of {name} is not known");
                }
                Some(_) => {}
                None => assert!(!is_known, "{name} has left and is still known"),
            }
        }
    }
}

fn target_key(target: u8) -> String {
    format!("servers/i-{:x}", 0x10 + u32::from(target))
}

proptest! {
    #[test]
    fn odd_items_cost_themselves_alone(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        world.check();
    }
}
