//! Measurement of the time and heap memory of a piece of code.

use std::{
    alloc,
    hint,
    sync::atomic, //
    time,
};

use tokio::time::Instant;

/// Duration of one repetition.
const REPETITION: time::Duration = time::Duration::from_millis(30);

/// Number of repetitions of each measurement.
const REPETITIONS: usize = 5;

static ALLOCATED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// System allocator that counts the allocated bytes.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: All calls are passed unchanged to the system allocator; counting does not allocate.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        ALLOCATED.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`; the pointer came from `alloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

/// Returns a value with the bytes of heap memory that it uses.
pub(super) fn bytes<T>(f: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED.load(atomic::Ordering::Relaxed);
    let value = f();
    let after = ALLOCATED.load(atomic::Ordering::Relaxed);
    (value, after.saturating_sub(before))
}

/// Returns the nanoseconds per call, one value per repetition, in ascending order.
pub(super) fn nanos<T>(mut f: impl FnMut(usize) -> T) -> [f64; REPETITIONS] {
    let mut times = [0.0; REPETITIONS];
    let mut step = 0;
    for time in &mut times {
        *time = measure_repetition(&mut f, &mut step);
    }
    times.sort_by(f64::total_cmp);
    times
}

fn measure_repetition<T>(f: &mut impl FnMut(usize) -> T, step: &mut usize) -> f64 {
    let start = Instant::now();
    let first = *step;
    let mut batch = 1;
    while start.elapsed() < REPETITION {
        for _ in 0..batch {
            // Keeps the compiler from removing a call whose result is unused.
            hint::black_box(f(*step));
            *step += 1;
        }
        // Keeps the cost of reading the clock small compared to the cheapest decisions.
        batch = (batch * 2).min(1000);
    }
    start.elapsed().as_nanos() as f64 / (*step - first) as f64
}

/// Prints a row of the table.
pub(super) fn row(name: &str, size: String, times: [f64; REPETITIONS], bytes: usize) {
    let [least, _, median, _, most] = times;
    println!("| {name} | {size} | {median:.0} ({least:.0} to {most:.0}) | {bytes} |");
}
