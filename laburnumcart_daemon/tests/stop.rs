//! Graceful shutdown and the control thread.

use std::{
    rc,
    sync,
    thread,
    time, //
};

use laburnumcart::unit;
use laburnumcart_daemon::{
    control,
    stop, //
};

const LIMIT: unit::Period = unit::Period::from_secs(30);

/// A request in flight at shutdown must still be answered, while new ones are refused.
#[tokio::test(start_paused = true)]
async fn work_in_flight_is_finished() {
    let running = stop::Running::new();
    let gate = running.gate();
    let work = gate.enter().unwrap();
    let draining = running.drain();
    assert!(gate.enter().is_none());
    assert!(gate.is_closed());
    assert_eq!(draining.in_flight(), 1);
    tokio::spawn(async move {
        tokio::time::sleep(time::Duration::from_secs(10)).await;
        drop(work);
    });
    let start = tokio::time::Instant::now();
    assert_eq!(draining.wait(LIMIT).await, stop::Stopped { unfinished: 0 });
    assert_eq!(start.elapsed(), time::Duration::from_secs(10));
}

/// A request that hangs must not keep the process from stopping at the limit.
#[tokio::test(start_paused = true)]
async fn wait_is_bounded() {
    let running = stop::Running::new();
    let _work = running.gate().enter();
    let start = tokio::time::Instant::now();
    assert_eq!(
        running.drain().wait(LIMIT).await,
        stop::Stopped { unfinished: 1 }
    );
    assert_eq!(start.elapsed(), LIMIT.0);
}

#[tokio::test(start_paused = true)]
async fn idle_process_stops_at_once() {
    let start = tokio::time::Instant::now();
    let stopped = stop::Running::new().drain().wait(LIMIT).await;
    assert_eq!(stopped, stop::Stopped { unfinished: 0 });
    assert_eq!(start.elapsed(), time::Duration::ZERO);
}

/// Threads enter while another one drains: all work is either refused or waited for, never cut off.
#[test]
fn work_admitted_during_drain_is_waited_for() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    for _ in 0..200 {
        let running = stop::Running::new();
        let done = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let threads: Vec<_> = (0..4)
            .map(|_| {
                let (gate, done) = (running.gate(), done.clone());
                thread::spawn(move || {
                    let mut entered = 0;
                    while let Some(work) = gate.enter() {
                        entered += 1;
                        done.fetch_add(1, sync::atomic::Ordering::SeqCst);
                        drop(work);
                    }
                    entered
                })
            })
            .collect();
        while done.load(sync::atomic::Ordering::SeqCst) == 0 {
            thread::yield_now();
        }
        let draining = running.drain();
        let stopped = runtime.block_on(draining.wait(LIMIT));
        let finished = done.load(sync::atomic::Ordering::SeqCst);
        let entered: usize = threads.into_iter().map(|t| t.join().unwrap()).sum();
        assert_eq!(stopped.unfinished, 0);
        assert_eq!(finished, entered);
    }
}

#[test]
fn control_state_need_not_be_send() {
    let control = control::spawn(|| async {
        let state = rc::Rc::new(41);
        tokio::task::yield_now().await;
        *state + 1
    });
    assert_eq!(control.unwrap().join(), Ok(42));
}

#[test]
fn panic_of_the_control_thread_is_reported() {
    let control = control::spawn(|| async { panic!("on purpose") });
    assert_eq!(control.unwrap().join(), Err::<(), _>(control::Panicked));
}
