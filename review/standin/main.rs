//! Stand-ins for the review's scripts: the platform's store, endpoints and clients, and a launcher
//! of the entry nodes. Standard library only. Every address is a loopback address.

mod client;
mod endpoint;
mod http;
mod nodes;
mod store;

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What every case needs: the record, the clock and the flag that ends all threads.
pub struct Context {
    record: Mutex<File>,
    began: Instant,
    stopped: AtomicBool,
    /// Whether the disruption of the case is played.
    pub trouble: bool,
    pub program: PathBuf,
    pub temp_dir: PathBuf,
}

impl Context {
    /// Appends a line to `record.txt`, with the time since the start.
    pub fn log(&self, text: Arguments<'_>) {
        let at_s = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at_s:9.4} {text}");
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Result of a case; the exit code of its script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

#[path = "../1/case.rs"]
mod case1;
#[path = "../2/case.rs"]
mod case2;
#[path = "../3/case.rs"]
mod case3;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, dir) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let temp_dir = PathBuf::from(args.next().unwrap_or_default());
    let program = PathBuf::from("target/release/oatcove-entry");
    let record = File::create(PathBuf::from(&dir).join("record.txt"));
    let (Ok(record), true) = (record, program.exists() && temp_dir.is_dir()) else {
        eprintln!("usage: standin CASE DIR TEMP_DIR, in the repository, after the build");
        std::process::exit(2);
    };
    let context = Arc::new(Context {
        record: Mutex::new(record),
        began: Instant::now(),
        stopped: AtomicBool::new(false),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        program,
        temp_dir,
    });
    let verdict = match case.as_str() {
        "1" => case1::run(&context),
        "2" => case2::run(&context),
        "3" => case3::run(&context),
        other => Verdict::CouldNotRun(format!("no such case: {other}")),
    };
    context.stop();
    std::thread::sleep(Duration::from_millis(100));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    context.log(format_args!("{text}"));
    println!("{text}");
    std::process::exit(code);
}
