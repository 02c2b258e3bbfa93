//! Targets that answer on a packet's flow.

use std::{
    collections::HashSet,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use cicadaweir_standins::steered::{ACK, RST, SYN, target_identity};

/// A head's bytes, and the identity before it.
const HEAD: usize = 32;
const IDENTITY: usize = 8;

/// One target.
#[derive(Debug, Clone)]
pub struct Server {
    /// Whether it takes packets.
    pub alive: Arc<AtomicBool>,
    flows: Arc<Mutex<HashSet<[u8; 12]>>>,
}

/// What a run's targets have seen that they should not have.
pub type Complaints = Arc<Mutex<Vec<String>>>;

impl Server {
    /// Lets target `n` answer on its socket; answers go to `caller`.
    pub fn start(n: u8, socket: UdpSocket, caller: SocketAddr, complaints: Complaints) -> Self {
        let server = Self {
            alive: Arc::new(AtomicBool::new(true)),
            flows: Arc::default(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            // The run holds the other reference, and lets go of it at its end.
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
                    Err(what) => complaints
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(what),
                }
            }
        });
        server
    }

    /// Ends the target without a word; what it knew is gone.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::Relaxed);
        self.flows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Starts it again.
    pub fn restart(&self) {
        self.alive.store(true, Ordering::Relaxed);
    }

    fn answer(&self, n: u8, datagram: &[u8]) -> Result<Option<Vec<u8>>, String> {
        let Some((intended, packet)) = datagram.split_first_chunk::<IDENTITY>() else {
            return Err(format!("target {n} got {} bytes", datagram.len()));
        };
        if u64::from_be_bytes(*intended) != target_identity(n).0 {
            return Ok(None);
        }
        if packet.len() < HEAD || packet[24..28] != 7u32.to_be_bytes() {
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
            _ if packet.len() > HEAD => (ACK, vec![n]),
            _ => return Ok(None),
        };
        let mut answer = vec![0; HEAD];
        answer[0..2].copy_from_slice(&packet[10..12]);
        answer[2..6].copy_from_slice(&packet[6..10]);
        answer[6..10].copy_from_slice(&packet[2..6]);
        answer[10..12].copy_from_slice(&packet[0..2]);
        answer[12..16].copy_from_slice(&(u32::from(n) * 1_000).to_be_bytes());
        answer[20] = flags;
        answer[23] = data.len() as u8;
        answer[24..28].copy_from_slice(&1u32.to_be_bytes());
        answer[28..32].copy_from_slice(&packet[28..32]);
        answer.extend_from_slice(&data);
        Ok(Some(answer))
    }
}
