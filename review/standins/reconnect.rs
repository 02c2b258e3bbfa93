//! Callers restart after a forced update and reconnect.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
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
const PORT: u16 = 8_443;
const BUDGET: Duration = Duration::from_millis(2_500);
const DRAIN_MS: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_secs(6);
const CALLERS: u8 = 40;
const FLOWS: usize = 5;

/// How long callers are away: longer than `idleTimeoutMs`, so that no end holds the
/// flows of before.
const AWAY: Duration = Duration::from_millis(16_500);

struct Scene {
    site: Arc<Site>,
    targets: Vec<Arc<Target>>,
    clients: Vec<Arc<Client>>,
}

/// Starts one zone with three entry VMs and fourteen targets, and opens boards.
fn start(record: &Record) -> Scene {
    let site = Site::start(record);
    let route = Route {
        name: "r-boards".to_owned(),
        ip: SITE_IP,
        port: PORT,
        kind: "unsafe",
        services: &[("classes", 1)],
    };
    site.put_config(1, &[route]);
    let targets: Vec<_> = (0..14u8)
        .map(|n| {
            let record = record.clone();
            let ip = site.ip(100, 10 + n);
            let work = Duration::from_millis(25);
            Target::start(
                &site,
                &record.clone(),
                u64::from(n) + 1,
                ip,
                zone_name(0),
                "classes",
                work,
                move |target, key| {
                    let acked = *target.drain_acked.lock().unwrap();
                    let late = acked.map(|at| at.elapsed()).filter(|span| *span > DRAIN_MS);
                    if let Some(span) = late {
                        record.broken(&format!(
                    "DRAIN: an opening of {} from port {} reaches {} {} ms after it was draining",
                    Ipv4Addr::from(key.0), key.1, target.name(), span.as_millis()
                ));
                    }
                },
            )
        })
        .collect();
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(0, 11),
        site.peer_addr(0, 12),
    ];
    for n in 10..13 {
        site.add_daemon(0, n, &seeds);
    }
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CALLERS)
        .map(|n| Client::start(&site, site.ip(200, 10 + n), 0))
        .collect();
    let openers: Vec<_> = clients
        .iter()
        .cloned()
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                for _ in 0..FLOWS {
                    let Ok(mut flow) = client.open((SITE_IP, PORT)) else {
                        continue;
                    };
                    let id = client.request_id();
                    let end = flow.request("POST", &id, 100, BUDGET);
                    record.line(&format!(
                        "{} port {} at target {}: {id} {end:?}",
                        client.ip, flow.port, flow.target
                    ));
                    flow.abandon();
                }
            })
        })
        .collect();
    for opener in openers {
        let _ = opener.join();
    }
    Scene {
        site,
        targets,
        clients,
    }
}

/// A target drains while the callers are away.
pub fn run_drain(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let scene = start(record);
    record.line("the callers are updated and restart");
    let back = Instant::now() + AWAY;
    thread::sleep(Duration::from_secs(8));
    scene.targets[0].drain();
    thread::sleep(back.saturating_duration_since(Instant::now()));
    reconnect(&scene, record, has_trouble, Duration::from_secs(1));
    scene.site.finish(keep);
}

/// An entry VM restarts while the callers come back.
pub fn run_restart(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let scene = start(record);
    record.line("the callers are updated and restart");
    let back = Instant::now() + AWAY;
    thread::sleep(back.saturating_duration_since(Instant::now()) - Duration::from_millis(1_300));
    let daemon = scene.site.daemons.lock().unwrap()[2].clone();
    record.line(&format!("SIGTERM to {}", daemon.name));
    let restart = thread::spawn(move || daemon.restart(GRACE));
    thread::sleep(back.saturating_duration_since(Instant::now()));
    reconnect(&scene, record, has_trouble, Duration::from_secs(8));
    let _ = restart.join();
    scene.site.finish(keep);
}

/// The callers open flows again and use them for `span`.
fn reconnect(scene: &Scene, record: &Record, has_trouble: bool, span: Duration) {
    record.line("the callers reconnect");
    let answered = Arc::new(AtomicU32::new(0));
    let mut workers = Vec::new();
    for client in &scene.clients {
        if has_trouble {
            client.restart();
        }
        for _ in 0..FLOWS {
            let (client, record, answered) =
                (Arc::clone(client), record.clone(), Arc::clone(&answered));
            workers.push(thread::spawn(move || {
                let Ok(mut flow) = client.open((SITE_IP, PORT)) else {
                    return record.line(&format!("{}: a flow did not open", client.ip));
                };
                while flow.opened.elapsed() < span {
                    let id = client.request_id();
                    record.line(&format!("{} sends {id} from port {}", client.ip, flow.port));
                    match flow.request("POST", &id, 900, BUDGET) {
                        End::Answered(status) => {
                            record.line(&format!("{id}: answered {status}"));
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        End::ResetByTarget(from) if from != flow.target => {
                            record.broken(&format!(
                                "FLOW: the open flow of {} from port {} at target {} got a reset of {from}, with request {id} in flight",
                                client.ip, flow.port, flow.target
                            ));
                            return flow.abandon();
                        }
                        end => {
                            record.line(&format!("{} port {}: {id} {end:?}", client.ip, flow.port));
                            return flow.abandon();
                        }
                    }
                    thread::sleep(Duration::from_millis(150));
                }
                flow.close();
            }));
        }
    }
    for worker in workers {
        let _ = worker.join();
    }
    let ran: usize = scene.targets.iter().map(|target| target.ran().len()).sum();
    record.line(&format!(
        "answered after the return: {}, run in all: {ran}",
        answered.load(Ordering::SeqCst)
    ));
}
