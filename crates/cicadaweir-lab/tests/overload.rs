//! Goodput under overload.

use cicadaweir_core::steer::{AdmissionOptions, LimitPolicy, Options};
use cicadaweir_lab::overload::{Load, Site, Trouble, run};

#[test]
fn tmp_print() {
  for (vms, targets) in [(3usize, 14), (9, 14), (61, 120), (195, 234)] {
    let site = Site { entry_vms: vms, targets, ..Site::default() };
    for (policy, goal) in [(LimitPolicy::Unlimited, 0.4), (LimitPolicy::Objective, 0.35), (LimitPolicy::Objective, 0.4), (LimitPolicy::Objective, 0.45)] {
    if vms > 60 && goal != 0.4 { continue; }
    let options = Options { admission: AdmissionOptions { policy, goal, ..AdmissionOptions::default() }, ..Options::default() };
    let mut cases: Vec<(String, Load)> = [0.33, 0.66, 1.0, 1.5, 2.0, 3.0].iter().map(|&x| (format!("{x}"), Load::burst(&site, x))).collect();
    cases.push(("slow third x6 at .66".into(), Load { troubles: vec![Trouble::SlowTargets { share: 0.34, factor: 6.0, from: 4.0, until: 10.0 }], ..Load::burst(&site, 0.66) }));
    cases.push(("restart at 2x".into(), Load { troubles: vec![Trouble::RestartEntryVms { at: 8.0 }], ..Load::burst(&site, 2.0) }));
    cases.push(("zone x4 at .5".into(), Load { troubles: vec![Trouble::ZoneBurst { factor: 4.0, from: 4.0, until: 10.0 }], ..Load::burst(&site, 0.6) }));
    cases.push(("down quarter at .5".into(), Load { troubles: vec![Trouble::TargetsDown { share: 0.25, from: 4.0, until: 10.0 }], ..Load::burst(&site, 0.5) }));
    for (name, load) in cases {
        if vms > 60 && ["0.66", "1", "3"].contains(&&*name) { continue; }
        let o = run(&site, &load, options, 1);
        let cap = site.capacity(load.mean_work_ms());
        let b = o.between(7, 10, None);
        let a = o.between(10, 12, None);
        let h = o.between(7, 10, Some(1));
        println!("{vms} {policy:?} {goal} {name}: cap {:.2} in_aim/asked {:.2} ({:.2}) late {:.2} refused {:.2} timeout {:.2} | after {:.2} | entry {} rej {} ref {} false {} waste {:.0}",
          b.in_aim as f64/3.0/cap, b.in_aim as f64/b.asked as f64,h.in_aim as f64/h.asked as f64, b.late as f64/b.asked as f64, b.refused as f64/b.asked as f64, b.timed_out as f64/b.asked as f64, a.in_aim as f64/a.asked as f64, o.entry_refusals, o.target_rejections, o.target_refusals, o.false_refusals, o.wasted_ms);
    }
    }
  }
}
