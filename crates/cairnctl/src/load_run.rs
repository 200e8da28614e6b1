//! `cairnctl load`.

use std::{net::SocketAddr, time::Duration};

use command_line::CommandError;
use eyre::{eyre, Report, Result};
use indicatif::{ProgressBar, ProgressStyle};
use load::{
    draw_curves, run_load, CallOutcome, CallRecord, LoadReport, LoadSettings, LoadTargets,
    ResponseCurve,
};

use crate::{options::LoadOptions, render::OutputFormat};

/// Runs the load and returns the report, as text for people or as one JSON line.
pub(crate) fn run(
    entries: Vec<SocketAddr>,
    options: &LoadOptions,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let settings = load_settings(options).map_err(CommandError::UsageError)?;
    let targets = load_targets(entries, options);
    let bar = progress_bar();
    let update_bar = |done, all| {
        bar.set_length(all);
        bar.set_position(done);
    };
    let result = actix_rt::System::new().block_on(run_load(&settings, &targets, update_bar));
    bar.finish_and_clear();
    let (report, calls) = result.map_err(Report::new)?;
    if let Some(path) = &options.report {
        draw_curves(path, &curves(&targets, &calls)).map_err(Report::new)?;
    }
    render(&report, output_format).map_err(CommandError::from)
}

fn load_settings(options: &LoadOptions) -> Result<LoadSettings> {
    let table = options.shape.parameters();
    let task_rate = match (options.rate, options.slots) {
        (Some(rate), _) => rate,
        (None, Some(slots)) => table.task_rate(options.percent, slots),
        (None, None) => return Err(eyre!("give --rate, or --percent with --slots")),
    };
    if !task_rate.is_finite() || task_rate <= 0.0 {
        return Err(eyre!("the load must be more than 0"));
    }
    Ok(LoadSettings {
        shape: options.shape,
        seed: options.seed,
        task_rate,
        duration: Duration::from_secs(options.seconds),
        customers: options.customers,
        burst: options.burst,
        ..LoadSettings::default()
    })
}

fn load_targets(entries: Vec<SocketAddr>, options: &LoadOptions) -> LoadTargets {
    let customers = 1..=options.customers;
    LoadTargets {
        entries,
        dispatchers: options.dispatcher_admin.clone(),
        endpoints: options.endpoint.clone(),
        customers: customers
            .map(|number| format!("{}-{number}", options.prefix))
            .collect(),
        slots: options.slots,
    }
}

/// A progress bar, which is drawn only on a terminal.
fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} calls, {elapsed}") {
        bar.set_style(style);
    }
    bar
}

fn curves(targets: &LoadTargets, calls: &[CallRecord]) -> Vec<ResponseCurve> {
    let mut lines = vec![ResponseCurve {
        name: "all".to_owned(),
        ..ResponseCurve::default()
    }];
    for customer in &targets.customers {
        lines.push(ResponseCurve {
            name: customer.clone(),
            ..ResponseCurve::default()
        });
    }
    for call in calls {
        if call.outcome != CallOutcome::Complete {
            continue;
        }
        lines[0].ratios.push(call.ratio());
        lines[call.customer + 1].ratios.push(call.ratio());
    }
    lines
}

fn render(report: &LoadReport, output_format: OutputFormat) -> Result<String> {
    Ok(match output_format {
        OutputFormat::Text => report.to_string(),
        OutputFormat::Json => format!("{}\n", serde_json::to_string(report)?),
    })
}
