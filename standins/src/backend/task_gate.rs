use std::{
    future::poll_fn,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
};

/// Makes tasks wait while it is closed; open at first.
#[derive(Debug, Default)]
pub struct TaskGate {
    closed: AtomicBool,
    wakers: Mutex<Vec<Waker>>,
}

impl TaskGate {
    /// Closes the gate; tasks that poll it from now on wait.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Opens the gate and wakes all waiting tasks.
    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        for waker in wakers.drain(..) {
            waker.wake();
        }
    }

    /// Ready while the gate is open; otherwise the task is woken when it opens.
    pub fn poll_open(&self, context: &Context<'_>) -> Poll<()> {
        if !self.closed.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        // Checked again under the lock, since `open` wakes only the tasks that are listed by then.
        if !self.closed.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }
        if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
            wakers.push(context.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the gate is open.
    pub async fn wait_open(&self) {
        poll_fn(|context| self.poll_open(context)).await;
    }
}
