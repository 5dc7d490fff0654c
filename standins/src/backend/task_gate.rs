use std::{
    future::poll_fn,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
};

/// Holds tasks back while it is closed.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
    waiting: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Makes later passages wait.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Lets everything pass.
    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        for waker in waiting.drain(..) {
            waker.wake();
        }
    }

    /// Ready while the gate is open; otherwise wakes the task when it opens.
    pub fn poll_pass(&self, context: &Context<'_>) -> Poll<()> {
        if !self.closed.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        // Checked again under the lock, since `open` wakes only who is listed.
        if !self.closed.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }
        if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
            waiting.push(context.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        poll_fn(|context| self.poll_pass(context)).await;
    }
}
