//! Stand-ins and drivers for the cases of the review. Each case starts real nodes on loopback addresses, with the
//! project's stand-ins of the store and of workers, and judges what these and the customers see.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cancel;
mod fleet;
mod http;
mod proxy;
mod record;
mod regroup;
mod same_id;
mod starved;

use std::{path::PathBuf, process::ExitCode};

use crate::record::Record;

/// How a case ended.
pub(crate) enum Verdict {
    Held,
    Broken,
}

/// A case could not run.
pub(crate) type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

/// What a case needs to run.
pub(crate) struct Setup {
    /// A temporary folder for settings and logs.
    pub(crate) dir: PathBuf,
    /// Whether the disruption takes place.
    pub(crate) trouble: bool,
    pub(crate) record: Record,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir), Some(record_path)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-case CASE TEMPORARY-FOLDER RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        dir: dir.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Record::new(),
    };
    let (record, folder) = (setup.record.clone(), setup.dir.clone());
    let result = actix_rt::System::new().block_on(async move {
        match case.as_str() {
            "regroup" => regroup::run(&setup).await,
            "cancel" => cancel::run(&setup).await,
            "same-id" => same_id::run(&setup).await,
            "starved" => starved::run(&setup).await,
            _ => Err("no such case".into()),
        }
    });
    fleet::clear_process_list(&folder);
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            2
        }
    };
    record.add(format!("exit status {code}"));
    if record.save(&PathBuf::from(record_path)).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
