//! A small HTTP server with a thread for each call.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use tiny_http::{Request, Server};

/// The interval at which waiting threads check for shutdown and changed faults.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves calls on an address until `shutdown` is set; returns the bound address.
///
/// # Errors
///
/// The I/O error with the address if it cannot be bound.
///
/// # Panics
///
/// If the bound address is not an IP address.
pub(crate) fn start(
    addr: SocketAddr,
    shutdown: &Arc<AtomicBool>,
    serve: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(|err| io::Error::other(format!("{addr}: {err}")))?;
    let addr = server
        .server_addr()
        .to_ip()
        .expect("the server listens on an IP address");
    let (shutdown, serve) = (Arc::clone(shutdown), Arc::new(serve));
    thread::spawn(move || {
        while !shutdown.load(Ordering::Relaxed) {
            let Ok(Some(req)) = server.recv_timeout(POLL_INTERVAL) else {
                continue;
            };
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(req));
        }
    });
    Ok(addr)
}
