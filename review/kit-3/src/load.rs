//! A load of streams, of which those are counted that hold events of two versions.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    caller::{self, Wish},
    record::Record,
    setup,
};

/// Streams that were begun, and those of them that hold events of two versions.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamCounts {
    pub begun: usize,
    pub mixed: usize,
}

/// Starts streams at these times, in seconds after `started`. A broken stream is taken up once, at the
/// next daemon of the list. `first` is the number of the first one, which its id follows from; the
/// prompts have one of `shared_parts` shared parts each.
pub fn start(
    first: usize,
    shared_parts: usize,
    times: Vec<f64>,
    started: Instant,
    frontends: Vec<String>,
    record: &Record,
) -> JoinHandle<StreamCounts> {
    let record = record.clone();
    thread::spawn(move || {
        let counts: Arc<Mutex<StreamCounts>> = Arc::default();
        let mut threads = Vec::new();
        for (number, at) in times.into_iter().enumerate() {
            setup::wait_until(started, at);
            let (record, counts, frontends) =
                (record.clone(), Arc::clone(&counts), frontends.clone());
            threads.push(thread::spawn(move || {
                let wish = Wish {
                    id: format!("{:08x}", 0x5a00_0000 + (first + number) * 16),
                    deadline: Duration::from_secs(4),
                    shared: format!("{:x}", 0xc0 + number % shared_parts),
                    resumes: 1,
                };
                let versions = caller::stream(&wish, &record, |attempt| {
                    frontends[(number + attempt) % frontends.len()].clone()
                });
                let mut counts = counts.lock();
                counts.begun += usize::from(!versions.is_empty());
                if versions.len() > 1 {
                    counts.mixed += 1;
                    record.say(format!("stream {} has events of {versions:?}", wish.id));
                }
            }));
        }
        for thread in threads {
            let _ = thread.join();
        }
        let counts = *counts.lock();
        counts
    })
}

/// Returns times at a rate between two times.
pub fn steady(from: f64, to: f64, per_s: f64) -> Vec<f64> {
    (0..((to - from) * per_s) as usize).map(|number| from + number as f64 / per_s).collect()
}
