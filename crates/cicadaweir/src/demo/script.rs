//! The steps of the demo.

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
    testbed::{Testbed, first_note, second_note, start_daemon},
};

/// The scale of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of the site, 1 to 254: the second byte of its loopback addresses.
    pub site: u8,
    /// The number of flows to the service `board` that stay open until the end.
    pub boards: u32,
    /// The number of flows to the service `board` that are opened in the surge.
    pub surge: u32,
    /// The number of downloads during which short requests are measured.
    pub downloads: u32,
    /// The duration of each step.
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

/// The member number of the entry VM that is stopped as planned.
const STOPPED: u8 = 2;

/// The member number of the entry VM that crashes.
const CRASHED: u8 = 6;

/// The zone that is isolated in the network partition.
const PARTITIONED_ZONE: u16 = 1;

struct Script<'a> {
    options: Options,
    testbed: Testbed,
    callers: CallerPool,
    next_caller: u32,
    outcome: Outcome,
    progress: &'a mut dyn FnMut(fmt::Arguments<'_>),
}

/// Runs the demo; `progress` is called with a line for each step.
///
/// # Errors
///
/// Fails if a process of the demo cannot start, the daemons do not become active
/// in time, or a release note is not accepted.
pub fn run(options: &Options, progress: &mut dyn FnMut(fmt::Arguments<'_>)) -> io::Result<Outcome> {
    let site = Site {
        number: options.site,
        entry_vms: 9,
        zones: 3,
    };
    progress(format_args!(
        "starting 9 daemons in 3 zones, 19 targets, the platform and the fabric"
    ));
    let testbed = Testbed::start(site)?;
    let mut fabric = Fabric::bind(site.fabric(), 1)?;
    fabric.set_entry_vms(site.tunnels());
    let mut script = Script {
        options: *options,
        testbed,
        callers: CallerPool::new(fabric),
        next_caller: 0,
        outcome: Outcome::default(),
        progress,
    };
    script.set_up()?;
    script.measure_short_requests();
    script.surge();
    script.publish_second_note()?;
    script.planned_stop()?;
    script.crash();
    script.zone_partition();
    Ok(script.finish())
}

impl Script<'_> {
    fn report_progress(&mut self, line: fmt::Arguments<'_>) {
        (self.progress)(line);
    }

    fn tally(&self) -> &Tally {
        &self.callers.tally
    }

    fn run_step(&mut self) {
        self.callers.run_for(self.options.step);
    }

    fn set_up(&mut self) -> io::Result<()> {
        self.publish(first_note(&self.testbed.site), NoteId(1))?;
        if !self.testbed.wait_active(Duration::from_secs(20)) {
            return Err(io::Error::other("the daemons did not become active"));
        }
        self.report_progress(format_args!(
            "first release note in force; opening flows to service board"
        ));
        for _ in 0..self.options.boards {
            self.open_flow("board", Protocol::Tcp, Duration::from_millis(800), 1);
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
        publish::publish(&self.testbed.store(), &options)
            .map(|outcome| outcome.revision.0)
            .map_err(|err| io::Error::other(err.to_string()))
    }

    fn open_flow(&mut self, service: &str, protocol: Protocol, pause: Duration, packets: u32) {
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

    /// Measures short requests without downloads, then during downloads.
    fn measure_short_requests(&mut self) {
        self.report_progress(format_args!(
            "measuring short requests without downloads, then during downloads"
        ));
        self.callers.tally.latency.reset();
        self.run_step();
        self.outcome.short_p99_alone = p99(self.tally());
        for _ in 0..self.options.downloads {
            self.open_flow("sheet", Protocol::Tcp, Duration::from_millis(50), 60);
        }
        self.callers.tally.latency.reset();
        self.run_step();
        self.outcome.short_p99_during_downloads = p99(self.tally());
    }

    fn surge(&mut self) {
        let surge = self.options.surge;
        self.report_progress(format_args!(
            "surge: opening {surge} more flows to service board within 1 s"
        ));
        let before = self.tally().opened;
        self.callers.tally.latency.reset();
        let pause = Duration::from_micros(1_000_000 / u64::from(surge));
        for index in 0..surge {
            self.open_flow("board", Protocol::Tcp, Duration::from_secs(2), 1);
            if index % 8 == 0 {
                self.callers.run_for(pause * 8);
            }
        }
        self.run_step();
        let opened = self.tally().opened - before;
        self.outcome.surge_opened = opened as f64 / f64::from(surge);
        self.outcome.surge_p99 = p99(self.tally());
        self.outcome.imbalance = self.testbed.imbalance();
    }

    fn publish_second_note(&mut self) -> io::Result<()> {
        self.report_progress(format_args!(
            "second release note: withdraws target board/t1, adds target board/t19"
        ));
        let started = Instant::now();
        let revision = self.publish(second_note(&self.testbed.site), NoteId(2))?;
        while started.elapsed() < Duration::from_secs(10) {
            self.callers.poll();
            let timeout = Duration::from_millis(1);
            if self
                .testbed
                .fleet
                .wait_in_force(revision, timeout)
                .everywhere
            {
                break;
            }
        }
        self.outcome.note_duration = started.elapsed();
        let elapsed_ms = self.outcome.note_duration.as_millis();
        self.report_progress(format_args!(
            "revision {revision} in force on all entry VMs after {elapsed_ms} ms"
        ));
        self.run_step();
        Ok(())
    }

    fn planned_stop(&mut self) -> io::Result<()> {
        self.report_progress(format_args!(
            "planned stop of entry VM {STOPPED}, then its replacement"
        ));
        let started = Instant::now();
        let index = usize::from(STOPPED) - 1;
        if let Some(daemon) = &self.testbed.daemons[index] {
            daemon.stop();
        }
        self.set_entry_vms_without(Some(STOPPED));
        let is_running = |testbed: &Testbed| {
            testbed.daemons[index]
                .as_ref()
                .is_some_and(|d| d.is_running())
        };
        while is_running(&self.testbed) && started.elapsed() < Duration::from_secs(30) {
            self.callers.poll();
        }
        self.outcome.stop_duration = started.elapsed();
        self.testbed.daemons[index] = None;
        self.callers.run_for(Duration::from_millis(500));
        self.testbed.daemons[index] = Some(start_daemon(&self.testbed.site, STOPPED)?);
        self.run_step();
        self.set_entry_vms_without(None);
        self.run_step();
        self.outcome.broken_by_planned_changes = self.tally().broken;
        Ok(())
    }

    /// Makes the fabric and the targets use all entry VMs except one, or all.
    fn set_entry_vms_without(&mut self, member: Option<u8>) {
        let excluded = member.map(|m| self.testbed.site.tunnel(m));
        let all = self.testbed.site.tunnels().into_iter();
        let remaining: Vec<SocketAddr> = all.filter(|&t| Some(t) != excluded).collect();
        for target in &self.testbed.targets {
            target.set_entry_vms(remaining.clone());
        }
        self.callers.fabric.set_entry_vms(remaining);
    }

    fn crash(&mut self) {
        self.report_progress(format_args!("crash of entry VM {CRASHED}"));
        let before = self.tally().broken;
        self.outcome.open_at_crash = self.callers.flows().filter(|f| f.is_open()).count() as u64;
        let index = usize::from(CRASHED) - 1;
        self.testbed.daemons[index] = None;
        self.run_step();
        self.set_entry_vms_without(Some(CRASHED));
        self.run_step();
        self.outcome.broken_by_crash = self.tally().broken - before;
    }

    fn zone_partition(&mut self) {
        let step = self.options.step;
        self.report_progress(format_args!(
            "network partition: zone {PARTITIONED_ZONE} is isolated for {step:?}"
        ));
        let before = self.tally().broken;
        self.testbed.partition_zone(Some(PARTITIONED_ZONE));
        self.run_step();
        self.testbed.partition_zone(None);
        self.report_progress(format_args!("network partition ended"));
        self.run_step();
        self.run_step();
        self.outcome.broken_by_partition = self.tally().broken - before;
    }

    fn finish(mut self) -> Outcome {
        let tally = self.tally().clone();
        self.outcome.opened = tally.opened;
        self.outcome.answered = tally.answered;
        self.outcome.wrong_service = tally.wrong_service;
        self.outcome.wrong_answer = tally.wrong_answer;
        self.outcome.moved = tally.moved;
        self.outcome.duplicated = self.testbed.requests_at_two_targets();
        self.callers.close();
        self.outcome
    }
}

/// Returns the 99th percentile of the latency of short requests.
fn p99(tally: &Tally) -> Duration {
    Duration::from_micros(tally.latency.value_at_quantile(0.99))
}
