//! HTTP endpoints for readiness and metrics.

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

/// The path of the metrics, in the OpenMetrics text format.
pub const METRICS_PATH: &str = "/metrics";

/// Starts serving readiness and metrics on `address`, on a thread of its own.
///
/// # Errors
///
/// Returns the error of binding the socket, with the address in its message.
pub fn start(
    address: SocketAddr,
    is_ready: Arc<AtomicBool>,
    meters: Arc<Meters>,
) -> io::Result<()> {
    let server =
        Server::http(address).map_err(|err| io::Error::other(format!("{address}: {err}")))?;
    thread::spawn(move || {
        for req in server.incoming_requests() {
            respond(req, &is_ready, &meters);
        }
    });
    Ok(())
}

fn respond(req: Request, is_ready: &AtomicBool, meters: &Meters) {
    let path = req.url().split('?').next().unwrap_or_default();
    let (code, body) = match (req.method(), path) {
        (Method::Get, ready::PATH) if is_ready.load(Ordering::Relaxed) => (200, String::new()),
        (Method::Get, ready::PATH) => (503, String::new()),
        (Method::Get, METRICS_PATH) => (200, meters.text()),
        _ => (404, String::new()),
    };
    let response = Response::from_string(body).with_status_code(code);
    if let Err(err) = req.respond(response) {
        warn!(err:display; "HTTP response could not be sent");
    }
}
