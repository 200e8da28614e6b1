//! Runs one case of the review: `review-2 CASE RECORD`. TROUBLE=0 leaves the disruption out. Exits with 0 if the rule
//! held, 1 if it was broken, and 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod large_row;
mod lost;
mod orphan;
mod pending;
mod platform;
mod poison;
mod record;
mod search;
mod suspect;

use std::{env, process::ExitCode, thread, time::Duration};

/// No case may take longer.
const LIMIT: Duration = Duration::from_secs(118);

/// How many breaks of a rule are printed; record.txt has all.
const SHOWN: usize = 5;

/// What a case found: the ways in which its rule was broken.
pub type Findings = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        // The nodes end with this process.
        std::process::exit(2);
    });
    let findings = match case.as_str() {
        "orphan" => orphan::run(trouble, record),
        "pending" => pending::run(trouble, record),
        "large_row" => large_row::run(trouble, record),
        "poison" => poison::run(trouble, record),
        "suspect" => suspect::run(trouble, record),
        case => match case.split_once(':').map(|(kind, seed)| (kind, seed.parse())) {
            Some(("search", Ok(seed))) => search::run(seed, record, false),
            Some(("unheard", Ok(seed))) => search::run(seed, record, true),
            _ => Err(format!("there is no case {case}")),
        },
    };
    match findings {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken.iter().take(SHOWN) {
                println!("broken: {line}");
            }
            println!("broken {} times in all", broken.len());
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
