//! Real processes with a limit of descriptors, and what they use of the machine.

use std::{
    cell::Cell,
    fs::{self, File},
    future::Future,
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use scenario::find_binary;
use serde_json::Value;
use tokio::task::JoinHandle;

/// The memory of the smallest machine of the users' pages, in bytes.
pub(crate) const SMALLEST_MEMORY: u64 = 120_000_000;

/// The memory that the target allows a node for control, in bytes.
pub(crate) const CONTROL_MEMORY: u64 = 32_000_000;

/// The descriptors of the smallest machine of the users' pages.
pub(crate) const SMALLEST_DESCRIPTORS: u64 = 3_075;

/// A limit of descriptors that a small crowd exceeds.
pub(crate) const FEW_DESCRIPTORS: u64 = 256;

/// The descriptors that clients must leave to the process for its own calls.
pub(crate) const OWN_DESCRIPTORS: u64 = 32;

/// A process under test, which is killed when the value is dropped.
pub(crate) struct TestProcess {
    child: Child,
    descriptor_limit: u64,
    /// The most descriptors that were found open at once.
    peak_descriptors: Rc<Cell<u64>>,
    sampler: JoinHandle<()>,
    dir: PathBuf,
}

impl TestProcess {
    /// Starts a role of `cairnpaddle` with these settings and at most `descriptors` open descriptors.
    pub(crate) fn start(role: &str, settings: &Value, descriptors: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("clients-{}-{role}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let path = dir.join("settings.json");
        fs::write(&path, settings.to_string()).expect("a settings file");
        let child = spawn(role, &path, &dir.join("log"), descriptors);
        let peak_descriptors = Rc::<Cell<u64>>::default();
        let sampler = sample_descriptors(child.id(), peak_descriptors.clone());
        Self {
            child,
            descriptor_limit: descriptors,
            peak_descriptors,
            sampler: actix_rt::spawn(sampler),
            dir,
        }
    }

    /// Waits until the process uses no more than before, 40 s at most: it takes in what a crowd has sent.
    pub(crate) async fn settle(&self) {
        let mut unchanged = 0;
        let mut last = (0, 0);
        for _ in 0..80 {
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            let usage = (self.peak_memory(), self.peak_descriptors.get());
            unchanged = if usage == last { unchanged + 1 } else { 0 };
            last = usage;
            if unchanged == 4 {
                return;
            }
        }
    }

    /// Checks that the process lives, and that it keeps below `memory` bytes and leaves itself descriptors.
    pub(crate) fn check_usage(&mut self, memory: u64) {
        let ended = self.child.try_wait().expect("a child process");
        assert_eq!(ended, None, "the process has ended: {}", self.log_end());
        let descriptors = self.peak_descriptors.get();
        let peak = self.peak_memory();
        println!("peak memory {peak} bytes, {descriptors} descriptors");
        assert!(
            peak < memory,
            "peak memory {peak} bytes, bound {memory} bytes"
        );
        let bound = self.descriptor_limit - OWN_DESCRIPTORS;
        assert!(
            descriptors <= bound,
            "{descriptors} descriptors, bound {bound}"
        );
    }

    /// The peak of the resident memory, in bytes.
    fn peak_memory(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// The resident memory, in bytes.
    pub(crate) fn resident_memory(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, field: &str) -> u64 {
        let status = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(status).expect("the process");
        let line = status.lines().find(|line| line.starts_with(field));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes
            .and_then(|text| text.parse().ok())
            .expect("a number");
        kilobytes * 1_024
    }

    pub(crate) fn log_end(&self) -> String {
        let log = fs::read(self.dir.join("log")).unwrap_or_default();
        let end = &log[log.len().saturating_sub(4_000)..];
        String::from_utf8_lossy(end).into_owned()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.sampler.abort();
        // Both calls fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Records the most descriptors that a process has open, until it has ended.
async fn sample_descriptors(pid: u32, peak: Rc<Cell<u64>>) {
    while let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) {
        peak.set(peak.get().max(descriptors.count() as u64));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

fn spawn(role: &str, settings: &Path, log: &Path, descriptors: u64) -> Child {
    let log = File::create(log).expect("a log file");
    let mut command = Command::new(find_binary().expect("the program"));
    command
        .arg(role)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log);
    let limit = libc::rlimit {
        rlim_cur: descriptors,
        rlim_max: descriptors,
    };
    // SAFETY: between fork and exec only `setrlimit` is called, which is safe after a fork and reads `limit` alone.
    unsafe {
        command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &limit) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    command.spawn().expect("the program starts")
}

/// Calls `is_done` until it returns true, each 50 ms and for 20 s at most.
pub(crate) async fn wait_until<F>(what: &str, is_done: impl Fn() -> F)
where
    F: Future<Output = bool>,
{
    for _ in 0..400 {
        if is_done().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("waited in vain: {what}");
}
