//! A seed loses power while it passes a changed configuration on to a follower.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    proxy::Proxy,
    record::Record,
    site::{Route, Site, zone_name},
    target::Target,
};

/// The bound `configApplyMs`.
const APPLY: Duration = Duration::from_millis(3_000);

/// The routes of `big_config`, and how often it comes.
const BIG_CONFIG_ROUTES: u16 = 350;
const BIG_CONFIGS: u16 = 6;

/// Twice the way between zones, and within one.
const ROUND_TRIP: Duration = Duration::from_micros(10_800);
const ROUND_TRIP_IN_ZONE: Duration = Duration::from_micros(200);

/// `for_s` of `after_ack_kill`.
const POWER_OFF: Duration = Duration::from_millis(3_000);
const ROUNDS: u16 = 4;
const ROUND: Duration = Duration::from_secs(18);

/// A route that was dropped last, and when the store confirmed that.
type Dropped = Mutex<Option<(Ipv4Addr, Instant)>>;

fn route(n: u16) -> Route {
    Route {
        name: format!("r-{:08x}", u32::from(n).wrapping_mul(2_654_435_761)),
        ip: Ipv4Addr::new(198, 18, (n >> 8) as u8, n as u8),
        port: 8_443,
        kind: "unsafe",
        services: &[("classes", 1)],
    }
}

pub fn run(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let site = Site::start(record);
    let mut routes: Vec<Route> = (0..110).map(route).collect();
    let mut version = 1;
    site.put_config(version, &routes);
    let dropped: Arc<Dropped> = Arc::default();
    for n in 0..3u8 {
        start_target(&site, record, n, &dropped);
    }
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(1, 10),
        site.peer_addr(2, 10),
    ];
    let seed_daemons = [0, 1, 2].map(|zone| site.add_daemon(zone, 10, &seeds));
    let links = [0u8, 1, 2].map(|zone| SocketAddr::from((site.ip(60 + zone, 10), seeds[0].port())));
    let proxies = [0, 1, 2].map(|zone| {
        let round_trip = if zone == 0 {
            ROUND_TRIP_IN_ZONE
        } else {
            ROUND_TRIP
        };
        Proxy::start(links[zone], seeds[zone], round_trip)
    });
    site.add_daemon(0, 11, &links);
    site.wait_ready();
    for _ in 0..BIG_CONFIGS {
        let first = routes.len() as u16;
        routes.extend((first..first + BIG_CONFIG_ROUTES).map(route));
        version += 2;
        site.put_config(version, &routes);
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(5));
    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8u8)
        .map(|n| {
            let client = Client::start(&site, site.ip(200, 10 + n), 0);
            let (dropped, ends) = (Arc::clone(&dropped), Arc::clone(&ends));
            thread::spawn(move || call(&client, &dropped, &ends))
        })
        .collect();
    for round in 0..ROUNDS {
        let end = Instant::now() + ROUND;
        let before = proxies.each_ref().map(|proxy| proxy.full_windows());
        let ip = routes.remove(usize::from(50 + 7 * round)).ip;
        version += 3;
        *dropped.lock().unwrap() = Some((ip, site.put_config(version, &routes)));
        let passes = || (0..3).find(|&zone| proxies[zone].full_windows() > before[zone]);
        let limit = Instant::now() + Duration::from_secs(1);
        while passes().is_none() && Instant::now() < limit {
            thread::sleep(Duration::from_micros(300));
        }
        if let Some(zone) = passes().filter(|_| has_trouble) {
            proxies[zone].lose_power();
            seed_daemons[zone].kill();
            record.line(&format!(
                "{} loses power while it passes the change on",
                seed_daemons[zone].name
            ));
            thread::sleep(POWER_OFF);
            seed_daemons[zone].start_again();
            proxies[zone].restore_power();
            record.line(&format!("{} is back", seed_daemons[zone].name));
        }
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    site.finish(keep);
}

/// Starts a target that watches for openings on the dropped route from the follower,
/// whose process nothing disturbs.
fn start_target(site: &Arc<Site>, record: &Record, n: u8, dropped: &Arc<Dropped>) {
    let (log, dropped, follower) = (record.clone(), Arc::clone(dropped), site.ip(0, 11));
    let on_opening = move |target: &Target, key: (u32, u16, u32, u16), from: Ipv4Addr| {
        let Some((ip, confirmed)) = *dropped.lock().unwrap() else {
            return;
        };
        if key.2 != u32::from(ip) || from != follower {
            return;
        }
        let line = format!(
            "an opening of {}:{} on the dropped route {ip} reaches {} through the follower, {} ms after the confirmation",
            Ipv4Addr::from(key.0),
            key.1,
            target.name(),
            confirmed.elapsed().as_millis()
        );
        // The opening was sent some milliseconds ago.
        if confirmed.elapsed() > APPLY + Duration::from_millis(50) {
            log.broken(&format!("CONFIG: {line}"));
        } else {
            log.line(&line);
        }
    };
    let work = Duration::from_millis(25);
    Target::start(
        site,
        record,
        u64::from(n) + 1,
        site.ip(100, 10 + n),
        zone_name(0),
        "classes",
        work,
        on_opening,
    );
}

/// Opens flows on the route that was dropped last.
fn call(client: &Arc<Client>, dropped: &Dropped, ends: &AtomicBool) {
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(100));
        let Some((ip, _)) = *dropped.lock().unwrap() else {
            continue;
        };
        if let Ok(flow) = client.open((ip, 8_443)) {
            flow.close();
        }
    }
}
