//! The connections from one seed to the store go silent while a change arrives.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    record::Record,
    site::{Route, Site, zone_name},
    target::Target,
};

/// The bounds `configApplyMs` and `stableMs`.
const APPLY: Duration = Duration::from_millis(3_000);
const IN_TOUCH: Duration = Duration::from_millis(4_000);

/// The routes of `big_config`, and how often it comes.
const BIG_CONFIG_ROUTES: u16 = 350;
const BIG_CONFIGS: u16 = 6;

/// The time from the confirmation of a change to the silence.
const SILENCE_DELAY: Duration = Duration::from_millis(15);
const ROUNDS: u32 = 5;
const ROUND: Duration = Duration::from_secs(16);

/// A route that the operator has dropped.
#[derive(Clone, Copy)]
struct Dropped {
    ip: Ipv4Addr,
    confirmed: Instant,
    silenced: Instant,
}

fn route(n: u16) -> Route {
    Route {
        name: format!("r-{n:07}"),
        ip: Ipv4Addr::new(198, 18, (n >> 8) as u8, n as u8),
        port: 8_443,
        kind: "unsafe",
        services: &[("classes", 1)],
    }
}

pub fn run(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let site = Site::start(record);
    site.store.use_windows();
    let mut routes: Vec<Route> = (0..110).map(route).collect();
    let mut version = 1;
    site.put_config(version, &routes);
    let dropped: Arc<Mutex<Option<Dropped>>> = Arc::default();
    for n in 0..3u8 {
        let (log, dropped) = (record.clone(), Arc::clone(&dropped));
        let on_opening = move |target: &Target, key: (u32, u16, u32, u16), from: Ipv4Addr| {
            let found = *dropped.lock().unwrap();
            let Some(route) = found.filter(|route| key.2 == u32::from(route.ip)) else {
                return;
            };
            let line = format!(
                "an opening of {}:{} on the dropped route {} reaches {} through {from}, {} ms after the confirmation",
                Ipv4Addr::from(key.0),
                key.1,
                route.ip,
                target.name(),
                route.confirmed.elapsed().as_millis()
            );
            // The opening was sent some milliseconds ago.
            let slack = Duration::from_millis(50);
            if route.confirmed.elapsed() > APPLY + slack && route.silenced.elapsed() > IN_TOUCH {
                log.broken(&format!("CONFIG: {line}"));
            } else {
                log.line(&line);
            }
        };
        let work = Duration::from_millis(25);
        Target::start(
            &site,
            record,
            u64::from(n) + 1,
            site.ip(100, 10 + n),
            zone_name(0),
            "classes",
            work,
            on_opening,
        );
    }
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(1, 10),
        site.peer_addr(2, 10),
    ];
    for zone in 0..3 {
        site.add_daemon(zone, 10, &seeds);
    }
    site.wait_ready();
    for _ in 0..BIG_CONFIGS {
        let first = routes.len() as u16;
        routes.extend((first..first + BIG_CONFIG_ROUTES).map(route));
        version += 2;
        site.put_config(version, &routes);
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(IN_TOUCH);
    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..4u8)
        .map(|n| {
            let client = Client::start(&site, site.ip(200, 10 + n), 0);
            let (dropped, ends, record) = (Arc::clone(&dropped), Arc::clone(&ends), record.clone());
            thread::spawn(move || call(&client, &dropped, &ends, &record))
        })
        .collect();
    for round in 0..ROUNDS {
        let end = Instant::now() + ROUND;
        let ip = routes.remove(usize::from(50 + 7 * round as u16)).ip;
        version += 3;
        let confirmed = site.put_config(version, &routes);
        thread::sleep(SILENCE_DELAY);
        if has_trouble {
            site.store.silence(0);
            record.line("the connections of the first seed to the store go silent");
        }
        *dropped.lock().unwrap() = Some(Dropped {
            ip,
            confirmed,
            silenced: Instant::now(),
        });
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    site.finish(keep);
}

/// Opens flows on the route that was dropped last, and sends a booking on each.
fn call(
    client: &Arc<Client>,
    dropped: &Mutex<Option<Dropped>>,
    ends: &AtomicBool,
    record: &Record,
) {
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(150));
        let Some(route) = *dropped.lock().unwrap() else {
            continue;
        };
        let Ok(mut flow) = client.open((route.ip, 8_443)) else {
            continue;
        };
        let id = client.request_id();
        record.line(&format!("{} sends {id} on {}", client.ip, route.ip));
        let end = flow.request("POST", &id, 900, Duration::from_millis(2_500));
        record.line(&format!("{id}: {end:?}"));
        flow.close();
    }
}
