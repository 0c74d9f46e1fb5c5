//! An allocator that counts the live bytes.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

/// The system's allocator, with a count of the live bytes.
pub(crate) struct CountingAllocator {
    live: AtomicUsize,
}

impl CountingAllocator {
    /// Makes an allocator with nothing allocated.
    pub(crate) const fn new() -> Self {
        Self {
            live: AtomicUsize::new(0),
        }
    }

    /// Returns the live bytes.
    pub(crate) fn live_bytes(&self) -> usize {
        self.live.load(Ordering::Relaxed)
    }
}

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        self.live.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        self.live.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}
