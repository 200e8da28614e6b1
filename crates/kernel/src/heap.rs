//! Returns memory that was freed to the operating system.
//!
//! By default the allocator keeps what a crowd of clients took for as long as the process lives, and a second crowd comes
//! on top of it.

/// Allocations of this size or more are mapped for themselves, and returned as soon as they are freed, in bytes. A
/// value that is set stays: by default it grows with the largest allocation that was freed.
const MAP_THRESHOLD: libc::c_int = 128 * 1_024;

/// How much free memory stays at the end of the heap, in bytes.
const TRIM_THRESHOLD: libc::c_int = 512 * 1_024;

/// Has freed memory returned to the operating system. To be called at the start of a process.
pub fn limit_free_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `mallopt` takes plain numbers. No other thread runs yet that could allocate meanwhile.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAP_THRESHOLD);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD);
    }
}

/// Returns free memory between allocations that are still in use. This takes some milliseconds where much is free.
pub fn release_free_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `malloc_trim` may be called at any time, from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}
