//! The configuration changes again and again while it has many routes.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Route, Site},
};

/// `limits.memoryMb` of the settings.
const MEMORY_LIMIT: u64 = 260 << 20;

/// The routes of `big_config`, and how often it comes.
const BIG_CONFIG_ROUTES: u16 = 350;
const BIG_CONFIGS: u16 = 9;

/// `gap_s` and `for_s` of `config_storm`, and the pause between two of them.
const STORM_GAP: Duration = Duration::from_millis(60);
const STORM: Duration = Duration::from_millis(1_500);
const STORM_PAUSE: Duration = Duration::from_millis(300);

/// The rule counts processes that end by themselves so often.
const ENDS: u32 = 3;

fn route(n: u16) -> Route {
    Route {
        name: format!("r-{n:07}"),
        ip: Ipv4Addr::new(198, 18, (n >> 8) as u8, n as u8),
        port: 8_443,
        kind: "safe",
        services: &[("classes", 90), ("sheets", 10)],
    }
}

pub fn run(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let site = Site::start(record);
    let mut routes: Vec<Route> = (0..110).map(route).collect();
    let mut version = 1;
    site.put_config(version, &routes);
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(1, 10),
        site.peer_addr(2, 10),
    ];
    for zone in 0..3 {
        site.add_daemon(zone, 10, &seeds);
    }
    site.wait_ready();
    let ends = Arc::new(AtomicBool::new(false));
    let monitors: Vec<_> = site
        .daemons
        .lock()
        .unwrap()
        .iter()
        .cloned()
        .map(|daemon| {
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            thread::spawn(move || {
                let (mut count, mut ticks) = (0, 0u32);
                while !ends.load(Ordering::SeqCst) {
                    let bytes = daemon.memory();
                    ticks += 1;
                    if ticks % 20 == 0 {
                        record.line(&format!("{} uses {} MB", daemon.name, bytes >> 20));
                    }
                    if bytes > MEMORY_LIMIT {
                        count += 1;
                        record.line(&format!(
                            "{} exceeds its memory and is killed, end {count}",
                            daemon.name
                        ));
                        daemon.end_for_memory();
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                count
            })
        })
        .collect();
    for _ in 0..BIG_CONFIGS {
        let first = routes.len() as u16;
        routes.extend((first..first + BIG_CONFIG_ROUTES).map(route));
        version += 2;
        site.put_config(version, &routes);
        thread::sleep(Duration::from_secs(1));
    }
    let end = Instant::now() + Duration::from_secs(if has_trouble { 98 } else { 20 });
    while has_trouble && Instant::now() < end {
        record.line("a storm of changes");
        let storm_end = Instant::now() + STORM;
        while Instant::now() < storm_end {
            let next = Instant::now() + STORM_GAP;
            version += 2;
            site.put_config(version, &routes);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        thread::sleep(STORM_PAUSE);
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    ends.store(true, Ordering::SeqCst);
    let counts: Vec<u32> = monitors
        .into_iter()
        .map(|monitor| monitor.join().unwrap_or(0))
        .collect();
    record.line(&format!("processes ended for their memory: {counts:?}"));
    if counts.iter().filter(|count| **count >= ENDS).count() >= 2 {
        record.broken(&format!(
            "Fault: processes ended by themselves on {} machines, {counts:?} times",
            counts.len()
        ));
    }
    site.finish(keep);
}
