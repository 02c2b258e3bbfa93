//! Readiness and metrics over HTTP.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use cicadaweir_platform::ready;
use log::warn;
use tiny_http::{Method, Request, Response, Server};

use super::Meters;

/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Starts answering on `address`: readiness and metrics.
///
/// # Errors
///
/// The operating system's error, with the address in it.
pub fn start(
    address: SocketAddr,
    takes_packets: Arc<AtomicBool>,
    meters: Arc<Meters>,
) -> io::Result<()> {
    let server =
        Server::http(address).map_err(|err| io::Error::other(format!("{address}: {err}")))?;
    thread::spawn(move || {
        for req in server.incoming_requests() {
            answer(req, &takes_packets, &meters);
        }
    });
    Ok(())
}

fn answer(req: Request, takes_packets: &AtomicBool, meters: &Meters) {
    let path = req.url().split('?').next().unwrap_or_default();
    let (code, body) = match (req.method(), path) {
        (Method::Get, ready::PATH) if takes_packets.load(Ordering::Relaxed) => (200, String::new()),
        (Method::Get, ready::PATH) => (503, String::new()),
        (Method::Get, METRICS_PATH) => (200, meters.text()),
        _ => (404, String::new()),
    };
    let response = Response::from_string(body).with_status_code(code);
    if let Err(err) = req.respond(response) {
        warn!(err:display; "an HTTP answer could not be sent");
    }
}
