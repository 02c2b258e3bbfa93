//! Stand-ins and scenarios of the review's scripts.
//!
//! `standins CASE FOLDER` runs a scenario from the repository's root and writes
//! `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod config_memory;
mod http;
mod late_answer;
mod new_route;
mod packet;
mod power_loss;
mod proxy;
mod reconnect;
mod record;
mod silent;
mod site;
mod store;
mod target;

use record::Record;

/// Ends the run because the case can't run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    site::kill_all();
    std::process::exit(2)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        cannot_run("usage: standins CASE FOLDER");
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        site::kill_all();
        std::process::exit(2);
    }));
    site::end_on_signals();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    record.line(&format!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let keep = std::env::var("KEEP_LOGS")
        .is_ok()
        .then_some(folder.as_str());
    match case.as_str() {
        "new-route" => new_route::run(&record, has_trouble, keep),
        "late-answer" => late_answer::run(&record, has_trouble, keep),
        "power-loss" => power_loss::run(&record, has_trouble, keep),
        "silent" => silent::run(&record, has_trouble, keep),
        "config-memory" => config_memory::run(&record, has_trouble, keep),
        "reconnect-drain" => reconnect::run_drain(&record, has_trouble, keep),
        "reconnect-restart" => reconnect::run_restart(&record, has_trouble, keep),
        _ => cannot_run("unknown case"),
    }
    let breaks = record.breaks();
    record.line(&format!("the rule was broken {breaks} times"));
    record.flush();
    println!("the rule was broken {breaks} times");
    site::kill_all();
    std::process::exit(i32::from(breaks > 0));
}
