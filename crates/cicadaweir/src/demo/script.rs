//! What happens in the demo, step by step.

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use cicadaweir_core::{catalog::NoteId, flow::Protocol};
use cicadaweir_standins::{
    caller::{CallerPool, FlowPlan, Tally},
    fabric::Fabric,
    site::Site,
};

use crate::publish;

use super::{
    Outcome,
    testbed::{Place, first_note, second_note, start_daemon},
};

/// How large the demo is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The site's number on loopback, 1 to 254.
    pub site: u8,
    /// Boards that stay open all the time.
    pub boards: u32,
    /// Boards that come together in the surge.
    pub surge: u32,
    /// Downloads beside which short requests are measured.
    pub downloads: u32,
    /// How long each step takes.
    pub step: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            site: 77,
            boards: 700,
            surge: 1_400,
            downloads: 12,
            step: Duration::from_secs(4),
        }
    }
}

/// The entry VM that is stopped as planned.
const STOPPED: u8 = 2;

/// The entry VM that crashes.
const CRASHED: u8 = 6;

/// The zone that is cut off.
const CUT_ZONE: u16 = 1;

struct Script<'a> {
    options: Options,
    place: Place,
    callers: CallerPool,
    next_caller: u32,
    outcome: Outcome,
    progress: &'a mut dyn FnMut(fmt::Arguments<'_>),
}

/// Runs the demo; `progress` is called with a line for each step.
///
/// # Errors
///
/// The error that kept a part from starting, or a release note from being
/// accepted.
pub fn run(options: &Options, progress: &mut dyn FnMut(fmt::Arguments<'_>)) -> io::Result<Outcome> {
    let site = Site {
        number: options.site,
        entry_vms: 9,
        zones: 3,
    };
    progress(format_args!(
        "starting 9 daemons in 3 zones, 19 targets, the platform and the fabric"
    ));
    let place = Place::start(site)?;
    let mut fabric = Fabric::bind(site.fabric(), 1)?;
    fabric.set_entry_vms(site.tunnels());
    let mut script = Script {
        options: *options,
        place,
        callers: CallerPool::new(fabric),
        next_caller: 0,
        outcome: Outcome::default(),
        progress,
    };
    script.start()?;
    script.short_work();
    script.surge();
    script.second_note()?;
    script.planned_stop()?;
    script.crash();
    script.zone_cut();
    Ok(script.finish())
}

impl Script<'_> {
    fn say(&mut self, line: fmt::Arguments<'_>) {
        (self.progress)(line);
    }

    fn tally(&self) -> &Tally {
        &self.callers.tally
    }

    fn run_step(&mut self) {
        self.callers.run(self.options.step);
    }

    fn start(&mut self) -> io::Result<()> {
        self.publish(first_note(&self.place.site), NoteId(1))?;
        if !self.place.wait_active(Duration::from_secs(20)) {
            return Err(io::Error::other("the daemons did not become active"));
        }
        self.say(format_args!("first release note in force; opening boards"));
        for _ in 0..self.options.boards {
            self.open("board", Protocol::Tcp, Duration::from_millis(800), 1);
        }
        self.run_step();
        Ok(())
    }

    fn publish(&mut self, file: cicadaweir_proto::note::NoteFile, id: NoteId) -> io::Result<u64> {
        let options = publish::Options {
            file,
            id,
            now_ms: publish::now_ms(),
            ..publish::Options::default()
        };
        publish::publish(&self.place.store(), &options)
            .map(|outcome| outcome.revision.0)
            .map_err(|err| io::Error::other(err.to_string()))
    }

    fn open(&mut self, service: &str, protocol: Protocol, pause: Duration, packets: u32) {
        let number = self.next_caller;
        self.next_caller += 1;
        let [_, a, b, c] = number.to_be_bytes();
        let caller = SocketAddr::from((Ipv4Addr::new(100, a, b, c), 40_000));
        let host = if service == "sheet" { 11 } else { 10 };
        self.callers.open(FlowPlan {
            protocol,
            caller,
            address: SocketAddr::from((Ipv4Addr::new(203, 0, 113, host), 443)),
            service: service.to_owned(),
            pause,
            work: Duration::from_micros(300),
            packets,
        });
    }

    /// Measures short requests alone, then beside downloads.
    fn short_work(&mut self) {
        self.say(format_args!(
            "measuring short requests alone, then beside downloads"
        ));
        self.callers.tally.times.reset();
        self.run_step();
        self.outcome.short_alone = percentile(self.tally());
        for _ in 0..self.options.downloads {
            self.open("sheet", Protocol::Tcp, Duration::from_millis(50), 60);
        }
        self.callers.tally.times.reset();
        self.run_step();
        self.outcome.short_beside = percentile(self.tally());
    }

    fn surge(&mut self) {
        let surge = self.options.surge;
        self.say(format_args!("surge: {surge} more boards within a second"));
        let before = self.tally().opened;
        self.callers.tally.times.reset();
        let pause = Duration::from_micros(1_000_000 / u64::from(surge));
        for at in 0..surge {
            self.open("board", Protocol::Tcp, Duration::from_secs(2), 1);
            if at % 8 == 0 {
                self.callers.run(pause * 8);
            }
        }
        self.run_step();
        let opened = self.tally().opened - before;
        self.outcome.surge_opened = opened as f64 / f64::from(surge);
        self.outcome.crest = percentile(self.tally());
        self.outcome.imbalance = self.place.imbalance();
    }

    fn second_note(&mut self) -> io::Result<()> {
        self.say(format_args!(
            "release note: withdraws board/t1, adds board/t19"
        ));
        let started = Instant::now();
        let revision = self.publish(second_note(&self.place.site), NoteId(2))?;
        while started.elapsed() < Duration::from_secs(10) {
            self.callers.turn();
            let limit = Duration::from_millis(1);
            if self.place.fleet.wait_in_force(revision, limit).everywhere {
                break;
            }
        }
        self.outcome.note = started.elapsed();
        let note = self.outcome.note.as_millis();
        self.say(format_args!(
            "revision {revision} in force at all entry VMs after {note} ms"
        ));
        self.run_step();
        Ok(())
    }

    fn planned_stop(&mut self) -> io::Result<()> {
        self.say(format_args!(
            "planned stop of entry VM {STOPPED}, then its replacement"
        ));
        let started = Instant::now();
        let at = usize::from(STOPPED) - 1;
        if let Some(daemon) = &self.place.daemons[at] {
            daemon.stop();
        }
        self.spray_over_all_but(Some(STOPPED));
        let runs = |place: &Place| place.daemons[at].as_ref().is_some_and(|d| d.runs());
        while runs(&self.place) && started.elapsed() < Duration::from_secs(30) {
            self.callers.turn();
        }
        self.outcome.stop = started.elapsed();
        self.place.daemons[at] = None;
        self.callers.run(Duration::from_millis(500));
        self.place.daemons[at] = Some(start_daemon(&self.place.site, STOPPED)?);
        self.run_step();
        self.spray_over_all_but(None);
        self.run_step();
        self.outcome.broken_planned = self.tally().broken;
        Ok(())
    }

    /// Tells the fabric and the targets which entry VMs there are.
    fn spray_over_all_but(&mut self, member: Option<u8>) {
        let gone = member.map(|m| self.place.site.tunnel(m));
        let all = self.place.site.tunnels().into_iter();
        let rest: Vec<SocketAddr> = all.filter(|&t| Some(t) != gone).collect();
        for target in &self.place.targets {
            target.set_entry_vms(rest.clone());
        }
        self.callers.fabric.set_entry_vms(rest);
    }

    fn crash(&mut self) {
        self.say(format_args!("crash of entry VM {CRASHED}"));
        let before = self.tally().broken;
        self.outcome.open_at_crash = self.callers.flows().filter(|f| f.is_open()).count() as u64;
        let at = usize::from(CRASHED) - 1;
        self.place.daemons[at] = None;
        self.run_step();
        self.spray_over_all_but(Some(CRASHED));
        self.run_step();
        self.outcome.broken_crash = self.tally().broken - before;
    }

    fn zone_cut(&mut self) {
        let step = self.options.step;
        self.say(format_args!("zone {CUT_ZONE} is cut off for {step:?}"));
        let before = self.tally().broken;
        self.place.cut(Some(CUT_ZONE));
        self.run_step();
        self.place.cut(None);
        self.say(format_args!("the cut is mended"));
        self.run_step();
        self.run_step();
        self.outcome.broken_cut = self.tally().broken - before;
    }

    fn finish(mut self) -> Outcome {
        let tally = self.tally().clone();
        self.outcome.opened = tally.opened;
        self.outcome.answered = tally.answered;
        self.outcome.wrong_service = tally.wrong_service;
        self.outcome.wrong_answer = tally.wrong_answer;
        self.outcome.moved = tally.moved;
        self.outcome.repeated = self.place.requests_at_two_targets();
        self.callers.close();
        self.outcome
    }
}

fn percentile(tally: &Tally) -> Duration {
    Duration::from_micros(tally.times.value_at_quantile(0.99))
}
