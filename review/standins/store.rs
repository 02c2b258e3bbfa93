//! The platform's store, as far as daemons call it: range reads and watches.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The addresses on which the store listens.
const LISTENERS: usize = 3;

/// The most items of a page.
const PAGE_ITEMS: usize = 500;

/// The bytes that a connection carries in one round trip, and the time of one.
const WINDOW_BYTES: usize = 16 << 10;
const ROUND_TRIP: Duration = Duration::from_millis(1);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// All changes.
    history: Vec<(u64, String, Vec<u8>)>,
}

/// A store that loses nothing and whose answers are linearizable.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// By listener: how often its connections have gone silent.
    silences: Arc<[AtomicU32; LISTENERS]>,
    /// Whether connections have small windows.
    has_windows: Arc<AtomicBool>,
}

impl Store {
    /// Starts to serve on an address, one for each zone.
    pub fn listen(&self, addr: SocketAddr, listener: usize) {
        let socket = TcpListener::bind(addr)
            .unwrap_or_else(|err| crate::cannot_run(&format!("store at {addr}: {err}")));
        let shared = self.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream, listener);
                });
            }
        });
    }

    /// Gives all connections small windows.
    pub fn use_windows(&self) {
        self.has_windows.store(true, Ordering::SeqCst);
    }

    /// The open connections of a listener carry nothing more from now on, and are not
    /// closed; new ones work.
    pub fn silence(&self, listener: usize) {
        self.silences[listener].fetch_add(1, Ordering::SeqCst);
    }

    /// Sends bytes on a connection that was opened after `silences` of its listener.
    fn send(
        &self,
        out: &mut TcpStream,
        bytes: &[u8],
        listener: usize,
        silences: u32,
    ) -> std::io::Result<()> {
        let has_windows = self.has_windows.load(Ordering::SeqCst);
        let window = if has_windows {
            WINDOW_BYTES
        } else {
            bytes.len().max(1)
        };
        for part in bytes.chunks(window) {
            while self.silences[listener].load(Ordering::SeqCst) != silences {
                thread::sleep(Duration::from_secs(1));
            }
            out.write_all(part)?;
            if has_windows {
                thread::sleep(ROUND_TRIP);
            }
        }
        Ok(())
    }

    /// Writes a key; the answer is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        thread::sleep(ANSWER_TIME);
        let value = value.as_bytes().to_vec();
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (revision, value.clone()));
        state.history.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, listener: usize) -> std::io::Result<()> {
        let silences = self.silences[listener].load(Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let url = line.split(' ').nth(1).unwrap_or_default().to_owned();
            loop {
                let mut header = String::new();
                if input.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            thread::sleep(ANSWER_TIME);
            let (path, query) = url.split_once('?').unwrap_or((&url, ""));
            let body = match path {
                "/-/kv-range" => self.range(query),
                "/-/kv-watch" => self.watch(query),
                _ => {
                    out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                    continue;
                }
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), body.as_bytes()].concat();
            self.send(&mut out, &bytes, listener, silences)?;
        }
    }

    fn range(&self, query: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut items: Vec<String> = found
            .take(PAGE_ITEMS + 1)
            .map(|(key, (revision, value))| item(key, *revision, value))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &str) -> String {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let prefix = parameter(query, "prefix");
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let later = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = later
                .map(|(revision, key, value)| item(key, *revision, value))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createRev\":{revision},\"lease\":0}}",
        base64(value)
    )
}

/// Returns a parameter of a query, empty if it is missing.
pub fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or(String::new(), |(_, value)| {
        value.replace("%2F", "/").replace("%2f", "/")
    })
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let number = u32::from_be_bytes([
            0,
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ]);
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
