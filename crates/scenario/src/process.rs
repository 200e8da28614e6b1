//! Child processes of a run. A child process is killed when its handle is dropped.

use std::{
    fmt,
    fs::File,
    io,
    os::unix::process::ExitStatusExt as _,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use crate::{
    record::{ExitCause, ExitRecord},
    script::{Label, ProcessRole},
};

/// The name of a process: its VM and its role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProcessName {
    pub(crate) vm: Label,
    pub(crate) role: ProcessRole,
}

impl ProcessRole {
    /// The subcommand of `cairnpaddle`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Dispatcher => "dispatcher",
        }
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.vm, self.role.as_str())
    }
}

/// A signal to a process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChildSignal {
    /// SIGTERM: asks the process to end.
    Terminate,
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: suspends the process until it is thawed.
    Freeze,
    /// SIGCONT: resumes the process.
    Thaw,
    /// SIGHUP: makes the process reload its settings file.
    Reload,
}

/// The parameters to start a process with.
#[derive(Clone, Copy, Debug)]
pub struct ChildPlan<'a> {
    /// The program.
    pub binary: &'a Path,
    /// The subcommand.
    pub role: &'a str,
    /// The settings file.
    pub settings: &'a Path,
    /// The file to which standard output and standard error are appended.
    pub log: &'a Path,
}

/// A child process with a name of type `N`. Dropping the handle kills the process.
pub struct ChildProcess<N> {
    name: N,
    child: Child,
    cause: ExitCause,
    frozen: bool,
    status: Option<ExitStatus>,
}

impl<N: fmt::Display> ChildProcess<N> {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program cannot be run.
    pub fn start(name: N, plan: ChildPlan<'_>) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(plan.log)?;
        let child = Command::new(plan.binary)
            .arg(plan.role)
            .arg("--settings")
            .arg(plan.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name,
            child,
            cause: ExitCause::Unrequested,
            frozen: false,
            status: None,
        })
    }

    /// The name of the process.
    pub fn name(&self) -> &N {
        &self.name
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Whether SIGTERM or SIGKILL was sent to the process.
    pub(crate) fn is_ending(&self) -> bool {
        self.cause != ExitCause::Unrequested
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        if self.status.is_none() {
            self.status = self.child.try_wait().ok().flatten();
        }
        self.status.is_some()
    }

    /// Sends a signal. Does nothing if the process has ended.
    ///
    /// # Errors
    ///
    /// The operating system rejects the signal.
    pub fn signal(&mut self, signal: ChildSignal) -> io::Result<()> {
        if self.has_ended() {
            return Ok(());
        }
        let number = match signal {
            ChildSignal::Terminate => libc::SIGTERM,
            ChildSignal::Kill => libc::SIGKILL,
            ChildSignal::Freeze => libc::SIGSTOP,
            ChildSignal::Thaw => libc::SIGCONT,
            ChildSignal::Reload => libc::SIGHUP,
        };
        send_signal(self.child.id(), number)?;
        match signal {
            ChildSignal::Terminate => self.cause = ExitCause::Terminated,
            ChildSignal::Kill => self.cause = ExitCause::Killed,
            ChildSignal::Freeze => self.frozen = true,
            ChildSignal::Thaw => self.frozen = false,
            ChildSignal::Reload => (),
        }
        Ok(())
    }

    /// Returns how the process ended. A process that still runs is killed and has no exit code.
    pub(crate) fn into_exit(mut self) -> ExitRecord {
        let status = self.has_ended().then_some(self.status).flatten();
        ExitRecord {
            process: self.name.to_string(),
            cause: self.cause,
            code: status.and_then(|status| status.code()),
        }
    }

    /// Whether the process runs or how it ended, as text.
    pub(crate) fn describe(&mut self) -> String {
        if !self.has_ended() {
            return "runs".to_owned();
        }
        match self.status {
            Some(status) => match status.signal() {
                Some(signal) => format!("ended by signal {signal}"),
                None => format!("ended with {:?}", status.code()),
            },
            None => "ended".to_owned(),
        }
    }
}

impl<N> Drop for ChildProcess<N> {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(Some(_))) {
            return;
        }
        // Both calls fail only if the process has ended in the meantime.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_signal(pid: u32, signal: libc::c_int) -> io::Result<()> {
    let pid = libc::pid_t::try_from(pid).map_err(io::Error::other)?;
    // SAFETY: `kill` takes plain numbers and accesses no memory of this process. The pid belongs to a child that has
    // not been waited for, so no other process can have been given it.
    let result = unsafe { libc::kill(pid, signal) };
    if result == 0 {
        return Ok(());
    }
    Err(io::Error::last_os_error())
}
