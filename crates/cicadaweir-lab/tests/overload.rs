//! Goodput under overload.
use cicadaweir_core::steer::{AdmissionOptions, LimitPolicy, Options};
use cicadaweir_lab::overload::{Load, Site, Trouble, run};
#[test]
fn tmp_print() {
    for (vms, targets) in [(9usize, 14usize), (61, 120)] {
        let site = Site {
            entry_vms: vms,
            targets,
            ..Site::default()
        };
        let handles: Vec<_> = [
            (0.35, 0.05, 0.5f32),
            (0.4, 0.05, 0.5),
            (0.45, 0.05, 0.5),
            (0.5, 0.05, 0.5),
            (0.45, 0.05, 0.0),
            (0.45, 0.1, 0.5),
        ]
        .iter()
        .map(|&(goal, wait, dw)| {
            std::thread::spawn(move || {
                let mut options = Options {
                    admission: AdmissionOptions {
                        policy: LimitPolicy::Objective,
                        ..AdmissionOptions::default()
                    },
                    ..Options::default()
                };
                options.admission.goal = goal;
                options.admission.max_wait = wait;
                options.delay_weight = dw;
                let mut line = format!("{vms} {:?}:", (goal, wait, dw));
                for x in [0.33, 0.66, 0.85, 1.0, 1.5, 2.0, 3.0, 8.4, 8.6, 8.9, 9.0] {
                    if vms > 9 && ![0.66, 1.5, 8.6, 9.0].contains(&x) {
                        continue;
                    }
                    let down = x > 8.0 && x < 9.0;
                    let load = if x == 9.0 {
                        Load {
                            troubles: vec![Trouble::SlowTargets {
                                share: 0.34,
                                factor: 6.0,
                                from: 4.0,
                                until: 10.0,
                            }],
                            ..Load::burst(&site, 0.66)
                        }
                    } else if down {
                        Load {
                            troubles: vec![Trouble::RestartEntryVms {
                                from: 6.0,
                                until: 7.3,
                            }],
                            ..Load::burst(&site, x - 8.0)
                        }
                    } else {
                        Load::burst(&site, x)
                    };
                    let cap = site.capacity(load.mean_work_ms());
                    let mut t = (0.0, 0.0, 0, 0.0, 0.0, 0.0);
                    let n = if vms > 9 { 1 } else { 4 };
                    for seed in 1..=n {
                        let o = run(&site, &load, options, seed);
                        let (f, u) = if down { (5, 9) } else { (6, 10) };
                        let b = o.between(f, u, None);
                        let a = o.between(10, 12, None);
                        let k = n as f64;
                        t.0 += b.in_aim as f64 / 4.0 / cap / k;
                        t.1 += b.late as f64 / 4.0 / cap / k;
                        t.2 += o.entry_refusals / n;
                        t.3 += a.in_aim as f64 / a.asked as f64 / k;
                        t.4 += b.asked as f64 / 4.0 / cap / k;
                        t.5 += (b.in_aim as f64 + 0.3 * b.late as f64) / b.asked as f64 / k;
                        assert_eq!(o.false_refusals, 0);
                    }
                    line += &format!(
                        " | {x}: {:.3}+{:.3}/{:.2} w{:.3} r{} a{:.2}",
                        t.0, t.1, t.4, t.5, t.2, t.3
                    );
                }
                line
            })
        })
        .collect();
        for h in handles {
            println!("cap {}", h.join().unwrap());
        }
    }
}
