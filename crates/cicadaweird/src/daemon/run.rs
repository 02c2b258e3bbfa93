//! Starting and running the Geneve event loop.

use std::{
    io,
    sync::{Arc, atomic::Ordering, mpsc::Receiver},
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::node;
use log::{error, info};
use stakker::{CX, Stakker, actor, after, fwd_to, ret_shutdown, stop};
use stakker_mio::{
    MioPoll, Ready,
    mio::{Events, Poll},
};

use crate::{
    control,
    event_loop::run_until_shutdown,
    inbox::{Inbox, Input},
    platform::{HttpPlatform, Shared, follow_list, follow_store},
    probe,
    settings::Settings,
    socket::{Batch, BatchSocket},
};

use super::engine::Engine;

/// The longest time that one poll blocks.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// The largest number of events that one poll returns.
const MAX_EVENTS: usize = 256;

/// Runs a daemon until it has stopped. `started` is called with the inbox
/// once all sockets are bound.
///
/// # Errors
///
/// Returns the operating system's error if a socket can't be bound or polling
/// fails.
pub fn run(settings: Settings, started: impl FnOnce(Inbox)) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let mut poll = MioPoll::new(s, Poll::new()?, Events::with_capacity(MAX_EVENTS), 5)?;
    let (inbox, rx) = Inbox::new(poll.waker());
    let shared = Arc::new(Shared::default());
    let control = settings.listen.control;
    control::start(control, inbox.clone(), Arc::clone(&shared))?;
    let (tx, startup_error) = std::sync::mpsc::channel();
    let parts = Parts {
        settings,
        rx,
        inbox: inbox.clone(),
        shared: Arc::clone(&shared),
        startup_error: tx,
    };
    let daemon = actor!(s, Daemon::init(parts), ret_shutdown!(s));
    poll.set_wake_fwd(fwd_to!([daemon], handle_inputs() as (Ready)));
    s.run(Instant::now(), false);
    if let Ok(err) = startup_error.try_recv() {
        shared.ended.store(true, Ordering::Relaxed);
        return Err(err);
    }
    started(inbox);
    let result = run_until_shutdown(s, &poll, MAX_WAIT);
    shared.ended.store(true, Ordering::Relaxed);
    result
}

/// The arguments of [`Daemon::init`], which sends an error at startup through
/// `startup_error`.
struct Parts {
    settings: Settings,
    rx: Receiver<Input>,
    inbox: Inbox,
    shared: Arc<Shared>,
    startup_error: std::sync::mpsc::Sender<io::Error>,
}

/// The daemon's actor: the sockets and the [`Engine`].
struct Daemon {
    tunnel: BatchSocket,
    peer: BatchSocket,
    batch: Batch,
    engine: Engine,
    rx: Receiver<Input>,
    next_tick: Instant,
}

impl Daemon {
    fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let startup_error = parts.startup_error.clone();
        match Self::setup(cx, parts) {
            Ok(this) => Some(this),
            Err(err) => {
                error!("the daemon cannot start: {err}");
                let _ = startup_error.send(err);
                stop!(cx);
                None
            }
        }
    }

    fn setup(cx: CX![], parts: Parts) -> io::Result<Self> {
        let listen = parts.settings.listen.clone();
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], read_tunnel() as (Ready));
        let tunnel = BatchSocket::bind(listen.tunnel, &poll, ready)?;
        let ready = fwd_to!([cx], read_peers() as (Ready));
        let peer = BatchSocket::bind(listen.peer, &poll, ready)?;
        let probes = probe::start(&parts.inbox);
        start_platform_threads(&parts);
        info!(
            member = parts.settings.member.id,
            zone = parts.settings.member.zone,
            tunnel:display = listen.tunnel,
            peer:display = listen.peer;
            "started"
        );
        let batch = Batch::new(&tunnel);
        let engine = Engine::new(&parts.settings, parts.shared, probes);
        after!(tick_interval(), [cx], tick());
        Ok(Self {
            tunnel,
            peer,
            batch,
            engine,
            rx: parts.rx,
            next_tick: cx.now() + tick_interval(),
        })
    }

    fn read_tunnel(&mut self, cx: CX![], ready: Ready) {
        self.engine.update_clock();
        let (tunnel, peer, engine) = (&self.tunnel, &self.peer, &mut self.engine);
        let has_more = tunnel.read(&mut self.batch, |from, bytes| {
            engine.handle_tunnel_datagram(tunnel, peer, from, bytes);
        });
        match has_more {
            Ok(true) => stakker::call!([cx], read_tunnel(ready)),
            Ok(false) => {}
            Err(err) => error!("reading the tunnel socket failed: {err}"),
        }
    }

    fn read_peers(&mut self, cx: CX![], ready: Ready) {
        self.engine.update_clock();
        let (tunnel, peer, engine) = (&self.tunnel, &self.peer, &mut self.engine);
        let has_more = peer.read(&mut self.batch, |from, bytes| {
            engine.handle_peer_datagram(tunnel, peer, from, bytes);
        });
        match has_more {
            Ok(true) => stakker::call!([cx], read_peers(ready)),
            Ok(false) => {}
            Err(err) => error!("reading the peer socket failed: {err}"),
        }
    }

    fn handle_inputs(&mut self, cx: CX![], _: Ready) {
        self.engine.update_clock();
        while let Ok(input) = self.rx.try_recv() {
            if matches!(input, Input::Abort) {
                return stop!(cx);
            }
            self.engine.handle_input(&self.tunnel, &self.peer, input);
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.engine.update_clock();
        self.engine.tick(&self.tunnel, &self.peer);
        if self.engine.has_stopped() {
            info!("stopped");
            return stop!(cx);
        }
        self.next_tick = (self.next_tick + tick_interval()).max(cx.now());
        let wait = self.next_tick.saturating_duration_since(cx.now());
        after!(wait, [cx], tick());
    }
}

fn tick_interval() -> Duration {
    Duration::from_micros(node::TICK_INTERVAL.as_micros())
}

/// Starts the threads that follow the store and the membership list.
fn start_platform_threads(parts: &Parts) {
    let platform = HttpPlatform::new(parts.settings.platform.store, parts.settings.platform.list);
    let (shared, inbox) = (Arc::clone(&parts.shared), parts.inbox.clone());
    let list_platform = platform.clone();
    thread::spawn(move || follow_list(list_platform, &shared, &inbox));
    let (shared, inbox) = (Arc::clone(&parts.shared), parts.inbox.clone());
    thread::spawn(move || follow_store(platform, &shared, &inbox));
}
