//! New routes are used at once, while many entry VMs are killed at the same moment.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, End},
    record::Record,
    site::{Route, Site, zone_name},
    target::Target,
};

const SITE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
/// The pause between the requests of a caller.
const PAUSE: Duration = Duration::from_millis(100);
const BUDGET: Duration = Duration::from_millis(2_500);
/// The `stableMs` of the rules.
const IN_TOUCH: Duration = Duration::from_millis(4_000);

/// `for_s` of `herd_kill`, and the pause to the next one.
const HERD_DOWN: Duration = Duration::from_millis(2_000);
const HERD_GAP: Duration = Duration::from_millis(6_600);

fn route(n: u16) -> Route {
    Route {
        name: format!("r-{n}"),
        ip: SITE_IP,
        port: 8_000 + n,
        kind: "unsafe",
        services: &[("classes", 1)],
    }
}

pub fn run(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let site = Site::start(record);
    let mut routes: Vec<Route> = (0..110).map(route).collect();
    site.put_config(1, &routes);
    let mut targets = Vec::new();
    for zone in 0..3u8 {
        for n in 0..5u8 {
            let number = u64::from(zone * 5 + n) + 1;
            let ip = site.ip(100 + zone, 10 + n);
            let work = Duration::from_millis(25);
            targets.push(Target::start(
                &site,
                record,
                number,
                ip,
                zone_name(zone.into()),
                "classes",
                work,
                |_, _, _| {},
            ));
        }
    }
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(1, 10),
        site.peer_addr(2, 10),
    ];
    for zone in 0..3 {
        for n in 0..3 {
            site.add_daemon(zone, 10 + n, &seeds);
        }
    }
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));

    let newest = Arc::new(Mutex::new((1u64, 8_000u16)));
    let ends = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU32; 5]> = Arc::default();
    let mut workers = Vec::new();
    for zone in 0..3 {
        for n in 0..40u8 {
            let client = Client::start(&site, site.ip(200 + zone as u8, 10 + n), zone);
            let (site, newest, ends, counts, record) = (
                Arc::clone(&site),
                Arc::clone(&newest),
                Arc::clone(&ends),
                Arc::clone(&counts),
                record.clone(),
            );
            workers.push(thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    let (version, port) = *newest.lock().unwrap();
                    call(&site, &client, version, port, &ends, &counts, &record);
                }
            }));
        }
    }
    // Versions add a route each, in storms of four seconds.
    let operator = {
        let (site, newest, ends) = (Arc::clone(&site), Arc::clone(&newest), Arc::clone(&ends));
        thread::spawn(move || {
            let mut version = 1;
            while !ends.load(Ordering::SeqCst) {
                for _ in 0..12 {
                    version += 3;
                    let n = routes.len() as u16;
                    routes.push(route(n));
                    site.put_config(version, &routes);
                    *newest.lock().unwrap() = (version, 8_000 + n);
                    thread::sleep(Duration::from_millis(330));
                }
                thread::sleep(Duration::from_millis(1_000));
            }
        })
    };
    let end = Instant::now() + Duration::from_secs(96);
    if has_trouble {
        let daemons = site.daemons.lock().unwrap().clone();
        let (seeds, others): (Vec<_>, Vec<_>) =
            daemons.into_iter().partition(|daemon| daemon.is_seed);
        for herd in 0.. {
            if Instant::now() + HERD_DOWN + HERD_GAP > end {
                break;
            }
            let mut killed = seeds.clone();
            if herd % 2 == 1 {
                killed.extend((0..2).map(|n| Arc::clone(&others[(herd + 2 * n) % others.len()])));
            }
            let names: Vec<&str> = killed.iter().map(|daemon| daemon.name.as_str()).collect();
            record.line(&format!("killed at the same moment: {}", names.join(", ")));
            killed.iter().for_each(|daemon| daemon.kill());
            thread::sleep(HERD_DOWN);
            killed.iter().for_each(|daemon| daemon.start_again());
            record.line("they are started again");
            thread::sleep(HERD_GAP);
        }
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    ends.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    let _ = operator.join();
    for (name, count) in [
        "answered",
        "not opened",
        "reset by the system",
        "reset by a target",
        "timed out",
    ]
    .iter()
    .zip(counts.iter())
    {
        record.line(&format!(
            "requests {name}: {}",
            count.load(Ordering::SeqCst)
        ));
    }
    let ran: usize = targets.iter().map(|target| target.ran().len()).sum();
    record.line(&format!("requests that ran: {ran}"));
    site.finish(keep);
}

/// Opens a flow on a route and sends requests on it for a second.
fn call(
    site: &Site,
    client: &Arc<Client>,
    version: u64,
    port: u16,
    ends: &AtomicBool,
    counts: &[AtomicU32; 5],
    record: &Record,
) {
    let Ok(mut flow) = client.open((SITE_IP, port)) else {
        counts[1].fetch_add(1, Ordering::SeqCst);
        thread::sleep(PAUSE);
        return;
    };
    let opened = Instant::now();
    while opened.elapsed() < Duration::from_millis(1_000) && !ends.load(Ordering::SeqCst) {
        let id = client.request_id();
        record.line(&format!(
            "{} sends {id} from port {} on the route of port {port}",
            client.ip, flow.port
        ));
        let end = flow.request("POST", &id, 900, BUDGET);
        let at = match &end {
            End::Answered(_) => 0,
            End::NotOpened => 1,
            End::ResetBySystem(_) => 2,
            End::ResetByTarget(_) => 3,
            End::TimedOut => 4,
        };
        counts[at].fetch_add(1, Ordering::SeqCst);
        match end {
            End::Answered(status) => record.line(&format!("{id}: answered {status}")),
            End::ResetBySystem(from) => {
                let sender = site.daemon_at(from);
                if !sender
                    .as_ref()
                    .is_some_and(|daemon| daemon.calm_for(IN_TOUCH))
                {
                    record.line(&format!("{id}: reset by {from}, which is not in touch"));
                    return flow.abandon();
                }
                record.broken(&format!(
                    "FLOW: {} reset the open flow of {} from port {} on port {port} (version {version}), {} ms old, with request {id} in flight",
                    sender.map_or(String::new(), |daemon| daemon.name.clone()), client.ip, flow.port, opened.elapsed().as_millis()
                ));
                return flow.abandon();
            }
            end => {
                record.line(&format!("{id}: {end:?}"));
                return flow.abandon();
            }
        }
        thread::sleep(PAUSE);
    }
    flow.close();
}
