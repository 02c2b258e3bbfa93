//! Starting the loop and turning it.

use std::{
    io,
    sync::{Arc, mpsc::Receiver},
    thread,
    time::{Duration, Instant},
};

use cicadaweir_platform::packet::{HEADER_BYTES, MAX_DATA_BYTES};
use log::{error, info};
use stakker::{CX, Stakker, actor, after, fwd_to, ret_shutdown, stop};
use stakker_mio::{
    MioPoll, Ready,
    mio::{Events, Poll},
};

use crate::{
    event_loop::run_until_shutdown,
    inbox,
    settings::CookieSettings,
    socket::{Batch, BatchSocket},
};

use super::{Engine, Feed, FeedClient, Follower, News, StoreClient, endpoint};

/// The longest sleep of the loop.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How often the loop looks at what is over.
const TICK: Duration = Duration::from_millis(200);

/// How often the loop looks at packets that wait: a part of the time that an
/// opening may wait for room.
const WAITING_TICK: Duration = Duration::from_millis(20);

/// Events that one poll returns at most.
const EVENTS: usize = 64;

/// One input of the loop.
#[derive(Debug)]
pub enum Input {
    /// The store has shown something.
    News(News),
    /// The settings file is to be read again.
    Reload,
    /// The process is to stop.
    Stop,
    /// The process is to end at once.
    Abort,
}

/// The sending end of the loop's inputs.
pub type Inbox = inbox::Inbox<Input>;

/// Runs a daemon until it has stopped. `path` is where its settings can be
/// read again; `started` is called with the inbox once all sockets are bound.
///
/// # Errors
///
/// The operating system's error if a socket can't be bound or polled.
pub fn run(settings: CookieSettings, path: &str, started: impl FnOnce(Inbox)) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let mut poll = MioPoll::new(s, Poll::new()?, Events::with_capacity(EVENTS), 5)?;
    let (inbox, rx) = Inbox::new(poll.waker());
    let (tx, failed) = std::sync::mpsc::channel();
    let parts = Parts {
        settings,
        path: path.to_owned(),
        rx,
        inbox: inbox.clone(),
    };
    let daemon = actor!(s, Daemon::init(parts, tx), ret_shutdown!(s));
    poll.set_wake_fwd(fwd_to!([daemon], inputs() as (Ready)));
    s.run(Instant::now(), false);
    if let Ok(err) = failed.try_recv() {
        return Err(err);
    }
    started(inbox);
    run_until_shutdown(s, &poll, MAX_WAIT)
}

struct Parts {
    settings: CookieSettings,
    path: String,
    rx: Receiver<Input>,
    inbox: Inbox,
}

/// The daemon's actor: the packet socket and the engine behind it.
struct Daemon {
    packets: BatchSocket,
    batch: Batch,
    engine: Engine,
    rx: Receiver<Input>,
    next_tick: Instant,
    looks_again: bool,
}

impl Daemon {
    fn init(cx: CX![], parts: Parts, failed: std::sync::mpsc::Sender<io::Error>) -> Option<Self> {
        match Self::setup(cx, parts) {
            Ok(this) => Some(this),
            Err(err) => {
                error!("the daemon cannot start: {err}");
                // The receiver reports the error to the caller of `run`.
                let _ = failed.send(err);
                stop!(cx);
                None
            }
        }
    }

    fn setup(cx: CX![], parts: Parts) -> io::Result<Self> {
        let listen = parts.settings.listen.clone();
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], read_packets() as (Ready));
        let packets = BatchSocket::bind(listen.packets, &poll, ready)?;
        let batch = Batch::for_datagrams(&packets, HEADER_BYTES + MAX_DATA_BYTES);
        let engine = Engine::new(parts.settings, parts.path);
        let meters = engine.meters();
        for address in [listen.ready, listen.metrics] {
            endpoint::start(address, engine.takes_packets(), Arc::clone(&meters))?;
        }
        let follower = Follower {
            store: StoreClient::new(engine.settings().store.address),
            peers: FeedClient::new(listen.peer, &engine.settings().member.zone),
            feed: Feed::start(listen.peer, &engine.settings().member.zone)?,
            seeds: engine.seeds(),
            own: listen.peer,
            seed: engine.seed(),
            meters,
            inbox: parts.inbox,
        };
        thread::spawn(move || follower.run());
        let settings = engine.settings();
        info!(
            member = settings.member.name,
            zone = settings.member.zone,
            packets:display = listen.packets,
            store:display = settings.store.address;
            "started"
        );
        after!(TICK, [cx], tick());
        Ok(Self {
            packets,
            batch,
            engine,
            rx: parts.rx,
            next_tick: cx.now() + TICK,
            looks_again: false,
        })
    }

    fn read_packets(&mut self, cx: CX![], ready: Ready) {
        self.engine.read_clock();
        let (packets, engine) = (&self.packets, &mut self.engine);
        let more = packets.read(&mut self.batch, |_, bytes| engine.datagram(packets, bytes));
        self.look_again(cx);
        match more {
            Ok(true) => stakker::call!([cx], read_packets(ready)),
            Ok(false) => {}
            Err(err) => error!("packet socket: {err}"),
        }
    }

    fn inputs(&mut self, cx: CX![], _: Ready) {
        self.engine.read_clock();
        while let Ok(input) = self.rx.try_recv() {
            match input {
                Input::News(news) => self.engine.news(news),
                Input::Reload => self.engine.reload(true),
                Input::Stop => self.engine.stop(),
                Input::Abort => return stop!(cx),
            }
        }
        self.engine.release(&self.packets);
    }

    /// Sees to it that packets that wait are looked at soon.
    fn look_again(&mut self, cx: CX![]) {
        if self.engine.has_pending() && !self.looks_again {
            self.looks_again = true;
            after!(WAITING_TICK, [cx], look());
        }
    }

    fn look(&mut self, cx: CX![]) {
        self.looks_again = false;
        self.engine.read_clock();
        self.engine.release(&self.packets);
        self.look_again(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        self.engine.read_clock();
        self.engine.tick();
        if self.engine.has_stopped() {
            info!("stopped");
            return stop!(cx);
        }
        self.next_tick = (self.next_tick + TICK).max(cx.now());
        let wait = self.next_tick.saturating_duration_since(cx.now());
        after!(wait, [cx], tick());
    }
}
