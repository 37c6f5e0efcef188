//! Runs one case of the review: `review-kit CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves
//! the disruption out.

mod cases;
mod daemon;
mod engine;
mod http;
mod record;
mod store;
mod world;

use std::{env, path::PathBuf, process::ExitCode, thread, time::Duration};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use world::{Verdict, World};

/// Longest run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-kit CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let Some(run) = cases::find(case) else {
        eprintln!("no case {case}");
        return ExitCode::from(2);
    };
    let root = PathBuf::from(root).canonicalize().unwrap_or_else(|_| PathBuf::from(root));
    let world = match World::new(&root, &PathBuf::from(folder), has_trouble) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("can't prepare the run: {error}");
            return ExitCode::from(2);
        }
    };
    let record = world.record.clone();
    if let Err(error) = end_with_signals() {
        eprintln!("can't handle signals: {error}");
        return ExitCode::from(2);
    }
    let (sender, receiver) = std::sync::mpsc::channel();
    // The run drops its processes before it sends its verdict.
    thread::spawn(move || {
        let verdict = run(&world);
        drop(world);
        let _ = sender.send(verdict);
    });
    let verdict = receiver
        .recv_timeout(LIMIT)
        .unwrap_or_else(|_| Verdict::NotRun("the run ended early or took too long".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    daemon::kill_all();
    record.say(text);
    ExitCode::from(code)
}

/// Ends all processes of the run if it is asked to end itself.
fn end_with_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM, SIGHUP])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            daemon::kill_all();
            std::process::exit(2);
        }
    });
    Ok(())
}
