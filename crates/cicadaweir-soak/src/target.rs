//! Targets that answer the packets of open flows.

use std::{
    collections::HashSet,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use cicadaweir_standins::steered::{ACK, FIN, RST, SYN, target_identity};

/// The length of a packet header, in bytes.
const HEADER_BYTES: usize = 32;

/// The length of the target identity before the header, in bytes.
const IDENTITY_BYTES: usize = 8;

/// A handle of a target; the thread of the target ends once all handles are dropped.
#[derive(Debug, Clone)]
pub struct Target {
    /// Whether the target handles packets.
    pub alive: Arc<AtomicBool>,
    flows: Arc<Mutex<HashSet<[u8; 12]>>>,
}

/// Descriptions of the invariant violations that targets detected.
pub type Violations = Arc<Mutex<Vec<String>>>;

impl Target {
    /// Starts target `n` on its socket; answers are sent to `caller`.
    pub fn start(n: u8, socket: UdpSocket, caller: SocketAddr, violations: Violations) -> Self {
        let target = Self {
            alive: Arc::new(AtomicBool::new(true)),
            flows: Arc::default(),
        };
        let shared = target.clone();
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            // The run owns the other handle and drops it at its end.
            while Arc::strong_count(&shared.alive) > 1 {
                let Ok(count) = socket.recv(&mut buf) else {
                    continue;
                };
                if !shared.alive.load(Ordering::Relaxed) {
                    continue;
                }
                match shared.answer(n, &buf[..count]) {
                    Ok(Some(packet)) => drop(socket.send_to(&packet, caller)),
                    Ok(None) => {}
                    Err(violation) => violations
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(violation),
                }
            }
        });
        target
    }

    /// Crashes the target: it handles no packets and loses its flows.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::Relaxed);
        self.flows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Restarts the target without flows.
    pub fn restart(&self) {
        self.alive.store(true, Ordering::Relaxed);
    }

    fn answer(&self, n: u8, datagram: &[u8]) -> Result<Option<Vec<u8>>, String> {
        let Some((identity, packet)) = datagram.split_first_chunk::<IDENTITY_BYTES>() else {
            return Err(format!("target {n} got {} bytes", datagram.len()));
        };
        if u64::from_be_bytes(*identity) != target_identity(n).0 {
            return Ok(None);
        }
        // Callers write 7 as the keyed checksum, which daemons must not change.
        if packet.len() < HEADER_BYTES || packet[24..28] != 7u32.to_be_bytes() {
            return Err(format!(
                "target {n} got a packet that its sender didn't write"
            ));
        }
        let mut key = [0; 12];
        key.copy_from_slice(&packet[..12]);
        let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
        let (flags, data) = match packet[20] {
            SYN => {
                flows.insert(key);
                (SYN | ACK, vec![])
            }
            _ if !flows.contains(&key) => (RST, vec![]),
            flags if flags & FIN != 0 => {
                flows.remove(&key);
                return Ok(None);
            }
            _ if packet.len() > HEADER_BYTES => (ACK, vec![n]),
            _ => return Ok(None),
        };
        let mut answer = vec![0; HEADER_BYTES];
        answer[0..2].copy_from_slice(&packet[10..12]);
        answer[2..6].copy_from_slice(&packet[6..10]);
        answer[6..10].copy_from_slice(&packet[2..6]);
        answer[10..12].copy_from_slice(&packet[0..2]);
        answer[12..16].copy_from_slice(&(u32::from(n) * 1_000).to_be_bytes());
        // Acknowledges the packet, so that its caller can tell to which flow this belongs.
        answer[16..20].copy_from_slice(&packet[12..16]);
        answer[20] = flags;
        answer[23] = data.len() as u8;
        answer[24..28].copy_from_slice(&1u32.to_be_bytes());
        answer[28..32].copy_from_slice(&packet[28..32]);
        answer.extend_from_slice(&data);
        Ok(Some(answer))
    }
}
