//! Runs one case of the review: `stand-ins NAME FOLDER`, in the root of the repository. Writes `record.txt` into the
//! folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod cancelled;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod stranded;
mod twice;
mod worker;

use std::{path::PathBuf, process::exit, sync::Arc};

use crate::{fleet::Trouble, record::Record};

/// What a case found: the breaches of its rule, one line each.
pub type Findings = Result<Vec<String>, Trouble>;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    let case: fn(bool, Arc<Record>) -> Findings = match name.as_str() {
        "twice" => twice::run,
        "stranded" => stranded::run,
        "cancelled" => cancelled::run,
        _ => {
            eprintln!("no such case: {name}");
            exit(2);
        }
    };
    let findings = std::panic::catch_unwind(|| case(trouble, record.clone()));
    let findings = findings.unwrap_or_else(|_| Err("the case panicked".to_owned()));
    let status = match &findings {
        Err(reason) => {
            println!("could not run: {reason}");
            record.line(format!("could not run: {reason}"));
            2
        }
        Ok(breaches) if breaches.is_empty() => {
            println!("held");
            record.line("held".to_owned());
            0
        }
        Ok(breaches) => {
            println!("broken {} times", breaches.len());
            for breach in breaches.iter().take(20) {
                println!("  {breach}");
                record.line(format!("broken: {breach}"));
            }
            1
        }
    };
    if let Err(error) = record.write(&folder.join("record.txt")) {
        println!("the record was not written: {error}");
        exit(2);
    }
    exit(status);
}
