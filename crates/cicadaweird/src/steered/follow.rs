//! Following the store on a thread of its own.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::{
    mirror::{Answer, Call, Mirror, Options, Update},
    steer::Change,
    time,
};
use cicadaweir_platform::records::{self, ROUTES_KEY, TARGETS_PREFIX};
use log::{info, warn};

use super::{Inbox, Input, Meters, StoreClient, StoreError};

/// Everything in the store is followed by one watch.
const PREFIX: &str = "";

/// What the store has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// What has changed, in order.
    pub changes: Vec<Change>,
    /// Whether the copy is complete up to the store's state of a moment ago.
    pub current: bool,
    /// The store's revision up to which changes are known.
    pub revision: u64,
}

/// Follows the store until the loop has ended.
pub fn follow(client: &StoreClient, seed: u64, meters: &Arc<Meters>, inbox: &Inbox) {
    let start = Instant::now();
    let now = || time::Instant::from_micros(start.elapsed().as_micros() as u64);
    let mut mirror = Mirror::new(Options::default(), seed);
    let mut updates = Vec::new();
    let mut failing: Option<Instant> = None;
    loop {
        let call = mirror.next_call(now());
        if let Call::Pause(span) = call {
            thread::sleep(Duration::from_micros(span.as_micros()));
            mirror.paused();
            continue;
        }
        let asked = Instant::now();
        let answer = match ask(client, &call) {
            Ok(answer) => {
                if let Some(since) = failing.take() {
                    let down_ms = since.elapsed().as_millis() as u64;
                    info!(dependency = "store", down_ms, revision = mirror.revision(); "dependency regained");
                }
                answer
            }
            Err(err) => {
                if failing.is_none() {
                    failing = Some(asked);
                    warn!(dependency = "store", err:display, revision = mirror.revision(); "dependency lost");
                }
                Answer::Failed
            }
        };
        meters.store_call(&call, &answer, asked.elapsed());
        if answer == Answer::Compacted {
            info!(dependency = "store", revision = mirror.revision(); "the store's history was dropped, reading all keys");
        }
        mirror.answer(now(), answer, &mut updates);
        if updates.is_empty() {
            continue;
        }
        let news = news(&mut updates, mirror.revision());
        if !inbox.send(Input::News(news)) {
            return;
        }
    }
}

fn ask(client: &StoreClient, call: &Call) -> Result<Answer, StoreError> {
    match call {
        Call::Range { after, stale } => client.range(PREFIX, after.as_deref(), *stale),
        Call::Watch { after, wait } => {
            client.watch(PREFIX, *after, Duration::from_micros(wait.as_micros()))
        }
        Call::Pause(_) => Ok(Answer::Failed),
    }
}

fn news(updates: &mut Vec<Update>, revision: u64) -> News {
    let mut news = News {
        changes: Vec::new(),
        current: false,
        revision,
    };
    for update in updates.drain(..) {
        match update {
            Update::Current => news.current = true,
            Update::Written { key, value, .. } => news.changes.extend(written(&key, &value)),
            Update::Removed { key, .. } => {
                if let Some(name) = key.strip_prefix(TARGETS_PREFIX) {
                    news.changes.push(Change::Gone { name: name.into() });
                }
            }
        }
    }
    news
}

fn written(key: &str, value: &[u8]) -> Option<Change> {
    if key == ROUTES_KEY {
        let skipped = |err| warn!(err:display; "a route is left out");
        return match records::routes_from(value, skipped) {
            Ok(table) => Some(Change::Routes(table)),
            Err(err) => {
                warn!(key, err:display; "the configuration is ignored, the one before stays in force");
                None
            }
        };
    }
    let name = key.strip_prefix(TARGETS_PREFIX)?;
    match records::target_from(name, value) {
        Ok(spec) => Some(Change::Target(spec)),
        Err(err) => {
            warn!(target_name = name, err:display; "the entry names no target");
            Some(Change::Gone { name: name.into() })
        }
    }
}
