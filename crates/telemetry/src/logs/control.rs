//! Starts logging and changes log levels while the process runs.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
};

use flexi_logger::{
    filter::{LogLineFilter, LogLineWriter},
    DeferredNow, ErrorChannel, LogSpecification, Logger, LoggerHandle,
};
use kernel::{ClockSource, SystemClock};
use log::{LevelFilter, Record};
use settings::{LogLevel, LogPart, LogSettings};

use super::{
    format::{write_json, write_text},
    limiter::{CallSite, LogDecision, LogLimiter, SuppressedCount},
    part::CRATE_PARTS,
};
use crate::TelemetryError;

/// The running logger of the process.
pub struct LogControl {
    handle: LoggerHandle,
    settings: Mutex<LogSettings>,
    limiter: Arc<Mutex<LogLimiter>>,
}

/// Starts logging. A process has one logger, so a later call, as when a demo runs several roles in one process, changes
/// nothing and returns the control of the first call.
///
/// # Errors
///
/// Fails if other code has already set a logger.
pub fn init_logs(settings: &LogSettings) -> Result<&'static LogControl, TelemetryError> {
    static CONTROL: Mutex<Option<&'static LogControl>> = Mutex::new(None);
    static LOGGER: OnceLock<LogControl> = OnceLock::new();
    let mut control = lock(&CONTROL);
    if let Some(control) = *control {
        return Ok(control);
    }
    let started = LogControl::start(settings)?;
    let started = LOGGER.get_or_init(|| started);
    *control = Some(started);
    Ok(started)
}

impl LogControl {
    /// Sets the log level of one part.
    pub fn set_level(&self, part: LogPart, level: LogLevel) {
        let mut settings = lock(&self.settings);
        settings.parts.insert(part, level);
        self.handle.set_new_spec(specification(&settings));
    }

    /// The log level of one part.
    pub fn level_of(&self, part: LogPart) -> LogLevel {
        lock(&self.settings).level_of(part)
    }

    /// The number of messages suppressed since the start because their call site logged too many.
    pub fn suppressed_total(&self) -> u64 {
        lock(&self.limiter).suppressed_total()
    }

    /// Logs the counts of suppressed messages that were not logged yet. Call it before the process ends.
    pub fn flush(&self) {
        let counts = lock(&self.limiter).take_all_counts();
        for count in counts {
            log::warn!(target: LogPart::Process.as_str(), "{}", suppressed_message(count));
        }
        self.handle.flush();
    }

    fn start(settings: &LogSettings) -> Result<Self, TelemetryError> {
        let limiter = Arc::new(Mutex::new(LogLimiter::new(settings.per_kind_per_second)));
        let filter = RateLimitFilter {
            limiter: Arc::clone(&limiter),
            clock: SystemClock,
        };
        let format = if settings.json {
            write_json
        } else {
            write_text
        };
        // The process must keep running when the reader of standard error closes the pipe.
        let handle = Logger::with(specification(settings))
            .log_to_stderr()
            .format(format)
            .filter(Box::new(filter))
            .error_channel(ErrorChannel::DevNull)
            .panic_if_error_channel_is_broken(false)
            .start()?;
        Ok(Self {
            handle,
            settings: Mutex::new(settings.clone()),
            limiter,
        })
    }
}

struct RateLimitFilter {
    limiter: Arc<Mutex<LogLimiter>>,
    clock: SystemClock,
}

impl LogLineFilter for RateLimitFilter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> io::Result<()> {
        let (decision, counts) = {
            let mut limiter = lock(&self.limiter);
            let time = self.clock.now();
            let counts = limiter.take_due_counts(time);
            (limiter.admit(call_site_of(record), time), counts)
        };
        for count in counts {
            write_suppressed_count(now, count, writer)?;
        }
        match decision {
            LogDecision::Write => writer.write(now, record),
            LogDecision::Suppress => Ok(()),
        }
    }
}

fn write_suppressed_count(
    now: &mut DeferredNow,
    count: SuppressedCount,
    writer: &dyn LogLineWriter,
) -> io::Result<()> {
    writer.write(
        now,
        &Record::builder()
            .level(log::Level::Warn)
            .target(LogPart::Process.as_str())
            .args(format_args!("{}", suppressed_message(count)))
            .build(),
    )
}

fn suppressed_message(count: SuppressedCount) -> String {
    let SuppressedCount { site, messages } = count;
    format!(
        "{messages} messages of {}:{} left out",
        site.file, site.line
    )
}

fn call_site_of(record: &Record<'_>) -> CallSite {
    CallSite {
        file: record.file_static().unwrap_or_default(),
        line: record.line().unwrap_or_default(),
    }
}

/// Converts the settings into levels by module. flexi_logger applies the longest prefix that matches a target.
fn specification(settings: &LogSettings) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(level_filter(settings.level_of(LogPart::Library)));
    for part in LogPart::ALL {
        builder.module(part.as_str(), level_filter(settings.level_of(*part)));
    }
    for (name, part) in CRATE_PARTS {
        builder.module(name, level_filter(settings.level_of(*part)));
    }
    builder.build()
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No use leaves the value half updated, so the lock can be used after a panic of a thread that held it.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
