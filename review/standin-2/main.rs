//! Scenarios of the review: entry nodes as processes, with stand-ins for the store, the endpoints and
//! the clients. Usage: `standin-2 SCENARIO RECORD WORK_DIR`, in the repository.

mod fleet;
mod http;
mod platform;
mod regress;

use std::path::PathBuf;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record, dir] = &args[..] else {
        eprintln!("usage: standin-2 SCENARIO RECORD WORK_DIR");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (record, dir) = (PathBuf::from(record), PathBuf::from(dir));
    let verdict = match scenario.as_str() {
        "regress" => regress::run(&record, dir, has_trouble),
        _ => Verdict::CouldNotRun("no such scenario"),
    };
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun(why) => {
            eprintln!("could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
