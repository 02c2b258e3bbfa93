//! The event loop of the daemon.

use std::{
    io,
    sync::{
        Arc,
        mpsc::{Receiver, Sender},
    },
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
    threads,
};

use super::{Engine, Feed, FeedClient, Follower, StoreClient, StoreUpdate, Timeouts, endpoint};

/// The longest time that one poll blocks.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The interval of periodic work: timeouts, reload of the settings, metrics.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The interval at which pending packets are retried; a fraction of the time that
/// an opening may wait for a target with capacity.
const PENDING_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The largest number of events that one poll returns.
const MAX_EVENTS: usize = 64;

/// The name of the thread that follows the store.
const FOLLOWER_THREAD: &str = "follower";

/// The name of the thread that serves other entry VMs.
const FEED_THREAD: &str = "feed";

/// An input of the event loop from another thread.
#[derive(Debug)]
pub enum Input {
    /// Changes in the store.
    StoreUpdate(StoreUpdate),
    /// A signal requests a reload of the settings file.
    Reload,
    /// Starts a planned stop.
    Stop,
    /// Ends the process immediately.
    Abort,
    /// A thread that the daemon can't do without has panicked.
    Panicked(&'static str),
}

/// The sender of the event loop's inputs.
pub type Inbox = inbox::Inbox<Input>;

/// Runs a daemon until it has stopped. `path` names the settings file for
/// reloads; `started` is called with the inbox once all sockets are bound.
///
/// # Errors
///
/// Returns the operating system's error if a socket can't be bound or polled, or an
/// error that names the thread if one of the daemon's threads panicked.
pub fn run(settings: CookieSettings, path: &str, started: impl FnOnce(Inbox)) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let mut poll = MioPoll::new(s, Poll::new()?, Events::with_capacity(MAX_EVENTS), 5)?;
    let (inbox, rx) = Inbox::new(poll.waker());
    let (tx, failure) = std::sync::mpsc::channel();
    let parts = Parts {
        settings,
        path: path.to_owned(),
        rx,
        inbox: inbox.clone(),
    };
    let daemon = actor!(s, Daemon::init(parts, tx), ret_shutdown!(s));
    poll.set_wake_fwd(fwd_to!([daemon], handle_inputs() as (Ready)));
    s.run(Instant::now(), false);
    if let Ok(err) = failure.try_recv() {
        return Err(err);
    }
    started(inbox);
    run_until_shutdown(s, &poll, MAX_WAIT)?;
    failure.try_recv().map_or(Ok(()), Err)
}

/// The arguments of [`Daemon::init`].
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
    /// Reports to the caller of [`run`] why the daemon ends.
    failure: Sender<io::Error>,
    next_tick: Instant,
    /// Whether a retry of pending packets is scheduled.
    retry_scheduled: bool,
}

impl Daemon {
    fn init(cx: CX![], parts: Parts, failure: Sender<io::Error>) -> Option<Self> {
        match Self::setup(cx, parts, failure.clone()) {
            Ok(this) => Some(this),
            Err(err) => {
                error!("the daemon cannot start: {err}");
                // The receiver reports the error to the caller of `run`.
                let _ = failure.send(err);
                stop!(cx);
                None
            }
        }
    }

    fn setup(cx: CX![], parts: Parts, failure: Sender<io::Error>) -> io::Result<Self> {
        let listen = parts.settings.listen.clone();
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], read_packets() as (Ready));
        let packets = BatchSocket::bind(listen.packets, &poll, ready)?;
        let batch = Batch::for_datagrams(&packets, HEADER_BYTES + MAX_DATA_BYTES);
        let engine = Engine::new(parts.settings, parts.path);
        let meters = engine.meters();
        for address in [listen.ready, listen.metrics] {
            endpoint::start(address, engine.readiness(), Arc::clone(&meters))?;
        }
        let on_panic = |name| {
            let inbox = parts.inbox.clone();
            move || {
                inbox.send(Input::Panicked(name));
            }
        };
        let follower = Follower {
            store: StoreClient::new(engine.settings().store.address, Timeouts::default()),
            peers: FeedClient::new(
                listen.peer,
                &engine.settings().member.zone,
                Timeouts::default(),
            ),
            feed: Feed::start(
                listen.peer,
                &engine.settings().member.zone,
                on_panic(FEED_THREAD),
            )?,
            seeds: engine.seeds(),
            own: listen.peer,
            rng_seed: engine.rng_seed(),
            log_lines: engine.settings().limits.log_lines,
            meters,
            inbox: parts.inbox.clone(),
        };
        threads::spawn(FOLLOWER_THREAD, on_panic(FOLLOWER_THREAD), move || {
            follower.run()
        });
        let settings = engine.settings();
        info!(
            member = settings.member.name,
            zone = settings.member.zone,
            packets:display = listen.packets,
            store:display = settings.store.address;
            "started"
        );
        after!(TICK_INTERVAL, [cx], tick());
        Ok(Self {
            packets,
            batch,
            engine,
            rx: parts.rx,
            failure,
            next_tick: cx.now() + TICK_INTERVAL,
            retry_scheduled: false,
        })
    }

    fn read_packets(&mut self, cx: CX![], ready: Ready) {
        self.engine.update_clock();
        let (packets, engine) = (&self.packets, &mut self.engine);
        let has_more = packets.read(&mut self.batch, |_, bytes| {
            engine.handle_datagram(packets, bytes)
        });
        self.schedule_retry(cx);
        match has_more {
            Ok(true) => stakker::call!([cx], read_packets(ready)),
            Ok(false) => {}
            Err(err) => error!("reading the packet socket failed: {err}"),
        }
    }

    fn handle_inputs(&mut self, cx: CX![], _: Ready) {
        self.engine.update_clock();
        while let Ok(input) = self.rx.try_recv() {
            match input {
                Input::StoreUpdate(update) => self.engine.apply_update(update),
                Input::Reload => self.engine.reload(true),
                Input::Stop => self.engine.stop(),
                Input::Abort => return stop!(cx),
                Input::Panicked(name) => {
                    let err = io::Error::other(format!("thread {name} panicked"));
                    // The receiver lives as long as the event loop.
                    let _ = self.failure.send(err);
                    return stop!(cx);
                }
            }
        }
        self.engine.process_pending(&self.packets);
    }

    /// Schedules a retry, unless one is scheduled, if packets are pending.
    fn schedule_retry(&mut self, cx: CX![]) {
        if self.engine.has_pending() && !self.retry_scheduled {
            self.retry_scheduled = true;
            after!(PENDING_RETRY_INTERVAL, [cx], retry_pending());
        }
    }

    fn retry_pending(&mut self, cx: CX![]) {
        self.retry_scheduled = false;
        self.engine.update_clock();
        self.engine.process_pending(&self.packets);
        self.schedule_retry(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        self.engine.update_clock();
        self.engine.tick();
        if self.engine.has_stopped() {
            info!("stopped");
            return stop!(cx);
        }
        self.next_tick = (self.next_tick + TICK_INTERVAL).max(cx.now());
        let wait = self.next_tick.saturating_duration_since(cx.now());
        after!(wait, [cx], tick());
    }
}
