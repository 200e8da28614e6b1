//! The limits that the operating system sets to the process.

/// The most descriptors that the process may have open.
pub fn descriptor_limit() -> u64 {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: `limit` is a valid, writable rlimit.
    let result = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    match result {
        0 => limit.rlim_cur,
        // Without an answer, no limit is known.
        _ => u64::MAX,
    }
}
