//! An entry VM freezes; what it read late lets a second target answer an opening.

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
const BUDGET: Duration = Duration::from_millis(2_000);
const FREEZE: Duration = Duration::from_millis(4_000);
const CALLERS: u8 = 40;
/// Openings of one caller, and the time between two of them.
const FLOWS: u32 = 15;
const GAP: Duration = Duration::from_millis(110);

/// When callers use their flows again, after the start of the freeze.
const USED_AGAIN: Duration = Duration::from_millis(9_500);

pub fn run(record: &Record, has_trouble: bool, keep: Option<&str>) {
    let site = Site::start(record);
    let route = Route {
        name: "r-boards".to_owned(),
        ip: SITE_IP,
        port: PORT,
        kind: "safe",
        services: &[("classes", 1)],
    };
    site.put_config(1, &[route]);
    for n in 0..14u8 {
        let work = Duration::from_millis(19);
        let ip = site.ip(100, 10 + n);
        Target::start(
            &site,
            record,
            u64::from(n) + 1,
            ip,
            zone_name(0),
            "classes",
            work,
            |_, _, _| {},
        );
    }
    let seeds = [
        site.peer_addr(0, 10),
        site.peer_addr(0, 11),
        site.peer_addr(0, 12),
    ];
    let daemons: Vec<_> = (10..13).map(|n| site.add_daemon(0, n, &seeds)).collect();
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let frozen = &daemons[2];
    let start = Instant::now();
    if has_trouble {
        record.line(&format!("{} freezes", frozen.name));
        frozen.freeze();
    }
    let moved = Arc::new(AtomicU32::new(0));
    let mut workers = Vec::new();
    for n in 0..CALLERS {
        let client = Client::start(&site, site.ip(200, 10 + n), 0);
        for flow in 0..FLOWS {
            let (client, site, record, moved) = (
                Arc::clone(&client),
                Arc::clone(&site),
                record.clone(),
                Arc::clone(&moved),
            );
            let at = start + GAP * flow;
            workers.push(thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                watch_board(&client, &site, start, &record, &moved);
            }));
        }
    }
    thread::sleep((start + FREEZE).saturating_duration_since(Instant::now()));
    if has_trouble {
        frozen.wake();
        record.line(&format!("{} wakes", frozen.name));
    }
    for worker in workers {
        let _ = worker.join();
    }
    record.line(&format!(
        "flows on which a second target answered: {}",
        moved.load(Ordering::SeqCst)
    ));
    site.finish(keep);
}

/// Opens a flow, reads the board, and reads it again after a pause.
fn watch_board(
    client: &Arc<Client>,
    site: &Site,
    start: Instant,
    record: &Record,
    moved: &AtomicU32,
) {
    let Ok(mut flow) = client.open((SITE_IP, PORT)) else {
        return record.line(&format!("{}: a flow did not open", client.ip));
    };
    let id = client.request_id();
    record.line(&format!(
        "{} sends {id} from port {} to {}",
        client.ip, flow.port, flow.target
    ));
    let end = flow.request("GET", &id, 0, BUDGET);
    record.line(&format!("{id}: {end:?}"));
    if !matches!(end, End::Answered(_)) {
        return flow.abandon();
    }
    let own = flow.echo();
    if let Some(end) = flow.pause((start + USED_AGAIN).saturating_duration_since(Instant::now())) {
        record.line(&format!(
            "{} port {}: {end:?} in the pause",
            client.ip, flow.port
        ));
        return flow.abandon();
    }
    let has_moved = flow.echo() != own;
    moved.fetch_add(u32::from(has_moved), Ordering::SeqCst);
    let id = client.request_id();
    record.line(&format!(
        "{} sends {id} from port {} to {}, another target has answered: {has_moved}",
        client.ip, flow.port, flow.target
    ));
    match flow.request("GET", &id, 0, BUDGET) {
        End::ResetByTarget(from) if from != flow.target => {
            let in_touch = site
                .daemons
                .lock()
                .unwrap()
                .iter()
                .all(|daemon| daemon.calm_for(FREEZE));
            let line = format!(
                "FLOW: the open flow of {} from port {} at target {} got a reset of {from}, with request {id} in flight; all entry VMs in touch: {in_touch}",
                client.ip, flow.port, flow.target
            );
            if in_touch {
                record.broken(&line)
            } else {
                record.line(&line)
            }
        }
        end => record.line(&format!("{id}: {end:?}")),
    }
    flow.abandon();
}
