//! Callers close their flows and use the same ports again later, while entry VMs
//! restart.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, End, Flow},
    record::Record,
    site::{Daemon, Route, Site, zone_name},
    target::Target,
};

const SITE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const PORT: u16 = 8_443;
const BUDGET: Duration = Duration::from_millis(2_500);
const PAUSE: Duration = Duration::from_millis(300);
const DRAIN_MS: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_secs(6);
const CALLERS: u8 = 40;
const FLOWS: usize = 7;

/// How long after the close of a flow its port is used again: longer than
/// `idleTimeoutMs`.
const PORT_PAUSE: Duration = Duration::from_millis(17_000);

struct Scene {
    site: Arc<Site>,
    targets: Vec<Arc<Target>>,
    clients: Vec<Arc<Client>>,
    /// The entry VM that restarts.
    daemon: Arc<Daemon>,
    closed: Instant,
}

/// Starts one zone with three entry VMs and fourteen targets. Callers open flows and
/// close them; with `has_trouble`, they close them while an entry VM restarts.
fn start(record: &Record, has_trouble: bool) -> Scene {
    let site = Site::start(record);
    let route = Route {
        name: "r-boards".to_owned(),
        ip: SITE_IP,
        port: PORT,
        kind: "unsafe",
        services: &[("classes", 1)],
    };
    site.put_config(1, &[route]);
    let targets = (0..14u8).map(|n| start_target(&site, record, n)).collect();
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(0, 11),
        site.peer_addr(0, 12),
    ];
    let daemons: Vec<_> = (10..13).map(|n| site.add_daemon(0, n, &seeds)).collect();
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CALLERS)
        .map(|n| Client::start(&site, site.ip(200, 10 + n), 0))
        .collect();
    let closes = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for client in &clients {
        for _ in 0..FLOWS {
            let (client, record, closes) =
                (Arc::clone(client), record.clone(), Arc::clone(&closes));
            workers.push(thread::spawn(move || {
                let Ok(mut flow) = client.open((SITE_IP, PORT)) else {
                    return record.line(&format!("{}: a flow did not open", client.ip));
                };
                while !closes.load(Ordering::SeqCst) {
                    send(&client, &mut flow, &record);
                    thread::sleep(PAUSE);
                }
                let (port, target) = (flow.port, flow.target);
                let is_closed = flow.close();
                record.line(&format!(
                    "{} port {port} at {target}: closed by both ends: {is_closed}",
                    client.ip
                ));
            }));
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    let daemon = Arc::clone(&daemons[2]);
    let restart = has_trouble.then(|| restart_until_out(&site, &daemon, record));
    record.line("the callers close their flows");
    closes.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    let closed = Instant::now();
    if let Some(restart) = restart {
        let _ = restart.join();
        site.wait_rotation(&daemon, true);
    }
    Scene {
        site,
        targets,
        clients,
        daemon,
        closed,
    }
}

fn start_target(site: &Arc<Site>, record: &Record, n: u8) -> Arc<Target> {
    let log = record.clone();
    let on_opening = move |target: &Target, key: (u32, u16, u32, u16), _| {
        let acked = *target.drain_acked.lock().unwrap();
        if let Some(span) = acked.map(|at| at.elapsed()).filter(|span| *span > DRAIN_MS) {
            log.broken(&format!(
                "DRAIN: an opening of {} from port {} reaches {} {} ms after it was draining",
                Ipv4Addr::from(key.0),
                key.1,
                target.name(),
                span.as_millis()
            ));
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
    )
}

/// Sends SIGTERM to a daemon and returns when it is out of rotation; the thread ends
/// when it has been started again.
fn restart_until_out(site: &Site, daemon: &Arc<Daemon>, record: &Record) -> thread::JoinHandle<()> {
    record.line(&format!("SIGTERM to {}", daemon.name));
    let restarted = Arc::clone(daemon);
    let restart = thread::spawn(move || restarted.restart(GRACE));
    site.wait_rotation(daemon, false);
    restart
}

fn send(client: &Client, flow: &mut Flow, record: &Record) -> End {
    let id = client.request_id();
    record.line(&format!(
        "{} sends {id} from port {} to {}",
        client.ip, flow.port, flow.target
    ));
    let end = flow.request("POST", &id, 900, BUDGET);
    record.line(&format!("{id}: {end:?}"));
    end
}

/// A target drains before the ports are used again.
pub fn run_drain(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let scene = start(record, has_trouble);
    thread::sleep((scene.closed + PORT_PAUSE / 2).saturating_duration_since(Instant::now()));
    scene.targets[0].drain();
    thread::sleep((scene.closed + PORT_PAUSE).saturating_duration_since(Instant::now()));
    reopen(&scene, record, Duration::from_secs(1));
    scene.site.finish(keep);
}

/// The entry VM restarts again while the ports are used again.
pub fn run_restart(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let scene = start(record, has_trouble);
    thread::sleep((scene.closed + PORT_PAUSE).saturating_duration_since(Instant::now()));
    let restart = has_trouble.then(|| restart_until_out(&scene.site, &scene.daemon, record));
    reopen(&scene, record, Duration::from_secs(8));
    if let Some(restart) = restart {
        let _ = restart.join();
    }
    scene.site.finish(keep);
}

/// The callers open flows from the same ports and use them for `span`.
fn reopen(scene: &Scene, record: &Record, span: Duration) {
    record.line("the callers open flows from the same ports");
    let answered = Arc::new(AtomicU32::new(0));
    let mut workers = Vec::new();
    for client in &scene.clients {
        client.reuse_ports();
        for _ in 0..FLOWS {
            let (client, record, answered) =
                (Arc::clone(client), record.clone(), Arc::clone(&answered));
            workers.push(thread::spawn(move || {
                let Ok(mut flow) = client.open((SITE_IP, PORT)) else {
                    return record.line(&format!("{}: a flow did not open", client.ip));
                };
                while flow.opened.elapsed() < span {
                    match send(&client, &mut flow, &record) {
                        End::Answered(_) => {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        End::ResetByTarget(from) if from != flow.target => {
                            record.broken(&format!(
                                "FLOW: the open flow of {} from port {} at target {} got a reset of {from}, with a request in flight",
                                client.ip, flow.port, flow.target
                            ));
                            return flow.abandon();
                        }
                        _ => return flow.abandon(),
                    }
                    thread::sleep(PAUSE);
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
        "answered on the reopened flows: {}, run in all: {ran}",
        answered.load(Ordering::SeqCst)
    ));
}
