//! An allocator that counts the allocated bytes.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

/// The system allocator with a count of the bytes currently allocated.
pub(crate) struct CountingAllocator {
    live_bytes: AtomicUsize,
}

impl CountingAllocator {
    /// Creates an allocator with a count of zero.
    pub(crate) const fn new() -> Self {
        Self {
            live_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes currently allocated.
    pub(crate) fn live_bytes(&self) -> usize {
        self.live_bytes.load(Ordering::Relaxed)
    }
}

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        self.live_bytes.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        self.live_bytes.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}
