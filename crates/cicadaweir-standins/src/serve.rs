//! HTTP servers of stand-ins: a thread for each call.

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

/// How often a server looks whether it is to end.
pub(crate) const PATIENCE: Duration = Duration::from_millis(100);

/// Serves calls on an address until `ended` is set; returns the address.
///
/// # Errors
///
/// The operating system's error, with the address in it.
///
/// # Panics
///
/// If the server listens on something other than IP.
pub(crate) fn start(
    addr: SocketAddr,
    ended: &Arc<AtomicBool>,
    serve: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(|err| io::Error::other(format!("{addr}: {err}")))?;
    let addr = server.server_addr().to_ip().expect("an IP listener");
    let (ended, serve) = (Arc::clone(ended), Arc::new(serve));
    thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let Ok(Some(req)) = server.recv_timeout(PATIENCE) else {
                continue;
            };
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(req));
        }
    });
    Ok(addr)
}
