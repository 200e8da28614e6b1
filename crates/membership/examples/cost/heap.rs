//! An allocator that counts the allocated bytes.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

static HELD: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static HEAP: CountingHeap = CountingHeap;

struct CountingHeap;

/// The bytes that are allocated now.
pub(crate) fn used() -> usize {
    HELD.load(Ordering::Relaxed)
}

// SAFETY: Every call goes to the system's allocator unchanged; the counter touches no memory of a block.
unsafe impl GlobalAlloc for CountingHeap {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`, which is the system allocator's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The block came from `alloc` above with this layout, so from the system's allocator.
        unsafe { System.dealloc(block, layout) }
    }
}
