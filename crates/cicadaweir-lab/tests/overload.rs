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
            (0.45, 0.05, 0.5),
            (0.4, 0.05, 0.5),
            (0.5, 0.05, 0.5),
            (0.45, 0.05, 0.0),
        ]
        .iter()
        .map(|&(goal, max_wait, dw)| {
            std::thread::spawn(move || {
                let options = Options {
                    delay_weight: dw,
                    admission: AdmissionOptions {
                        policy: LimitPolicy::Objective,
                        goal,
                        max_wait_overloaded: max_wait,
                        ..AdmissionOptions::default()
                    },
                    ..Options::default()
                };
                let mut line = format!("{vms} goal {goal} wait {max_wait} dw {dw}:");
                for x in [0.33, 0.66, 1.0, 1.5, 2.0, 3.0, 9.0] {
                    if vms > 9 && (x == 0.33 || x == 3.0 || x == 1.0) {
                        continue;
                    }
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
                    } else {
                        Load::burst(&site, x)
                    };
                    let cap = site.capacity(load.mean_work_ms());
                    let mut t = (0.0, 0.0, 0, 0.0, 0.0);
                    let n = if vms > 9 { 1 } else { 4 };
                    for seed in 1..=n {
                        let o = run(&site, &load, options, seed);
                        let b = o.between(6, 10, None);
                        let a = o.between(10, 12, None);
                        t.0 += b.in_aim as f64 / 4.0 / cap / n as f64;
                        t.1 += b.late as f64 / 4.0 / cap / n as f64;
                        t.2 += o.entry_refusals / n;
                        t.3 += a.in_aim as f64 / a.asked as f64 / n as f64;
                        t.4 += b.asked as f64 / 4.0 / cap / n as f64;
                    }
                    line += &format!(
                        " | {x}: {:.3}+{:.3}/{:.2} ref {} after {:.2}",
                        t.0, t.1, t.4, t.2, t.3
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
