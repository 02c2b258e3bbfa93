//! Clients of sources that go silent.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use cicadaweird::steered::{FeedClient, FeedWatch, StoreClient, StoreError, Timeouts};

/// Timeouts under which a client that waits for the end of a body never returns.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(60),
    read: Duration::from_millis(100),
    watch_margin: Duration::from_millis(100),
    body_silence: Duration::from_millis(100),
    body: Duration::from_secs(86_400),
};

/// Starts a source that answers each request with the start of a body, and then neither
/// sends anything nor closes the connection.
fn silent_source() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let mut buf = [0; 4_096];
                let count = stream.read(&mut buf).expect("a request");
                assert!(buf[..count].starts_with(b"GET "));
                let start = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"items\":[";
                stream.write_all(start.as_bytes()).expect("a reader");
                // Returns when the client closes the connection.
                let _ = stream.read(&mut buf);
            });
        }
    });
    address
}

// Guards against a follower that waits for the rest of a body while other sources have the
// change (docs/incidents/silent-body.md): hangs without a bound on the silence.
#[test]
fn a_body_that_goes_silent_is_given_up() {
    let source = silent_source();
    let store = StoreClient::new(source, TIMEOUTS);
    let peers = FeedClient::new(source, "a", TIMEOUTS);
    let watch = FeedWatch {
        after: 1,
        wait: Duration::ZERO,
        is_seed: false,
    };
    let results = [
        ("range", store.range("", None, false).err()),
        ("watch", store.watch("", 1, Duration::ZERO).err()),
        ("feed, all keys", peers.read_all(source).err()),
        ("feed, watch", peers.watch(source, watch).err()),
    ];
    for (request, err) in results {
        assert!(
            matches!(err, Some(StoreError::Unavailable(_))),
            "{request}: {err:?}"
        );
    }
}
