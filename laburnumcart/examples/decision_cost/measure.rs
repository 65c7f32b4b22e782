//! Time and memory of a piece of code.

use std::{
    alloc,
    hint,
    sync::atomic, //
    time,
};

use tokio::time::Instant;

/// Time of one repetition.
const REPETITION: time::Duration = time::Duration::from_millis(30);

/// Repetitions of each measurement.
const REPETITIONS: usize = 5;

static HELD: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// The system's allocator, with a count of the bytes held.
struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: All calls go to the system's allocator unchanged; counting allocates nothing.
unsafe impl alloc::GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        HELD.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `dealloc`; the pointer came from `alloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

/// Returns a value with the bytes of the heap that it holds.
pub(super) fn bytes<T>(f: impl FnOnce() -> T) -> (T, usize) {
    let before = HELD.load(atomic::Ordering::Relaxed);
    let value = f();
    let held = HELD.load(atomic::Ordering::Relaxed);
    (value, held.saturating_sub(before))
}

/// Returns the nanoseconds of each call, one value a repetition, in ascending order.
pub(super) fn nanos<T>(mut f: impl FnMut(usize) -> T) -> [f64; REPETITIONS] {
    let mut times = [0.0; REPETITIONS];
    let mut step = 0;
    for time in &mut times {
        *time = repetition(&mut f, &mut step);
    }
    times.sort_by(f64::total_cmp);
    times
}

fn repetition<T>(f: &mut impl FnMut(usize) -> T, step: &mut usize) -> f64 {
    let start = Instant::now();
    let first = *step;
    let mut batch = 1;
    while start.elapsed() < REPETITION {
        for _ in 0..batch {
            // The compiler would leave out what nobody reads.
            hint::black_box(f(*step));
            *step += 1;
        }
        // Reading the clock must not count for much beside the cheapest decisions.
        batch = (batch * 2).min(1000);
    }
    start.elapsed().as_nanos() as f64 / (*step - first) as f64
}

/// Prints one row of the table.
pub(super) fn row(name: &str, size: String, times: [f64; REPETITIONS], bytes: usize) {
    let [least, _, median, _, most] = times;
    println!("| {name} | {size} | {median:.0} ({least:.0} to {most:.0}) | {bytes} |");
}
