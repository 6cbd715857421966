//! Bounds how long one task keeps the executor.
//!
//! The executor has one thread and does not preempt a task. A read that finds data never suspends
//! the task, so a peer that sends without a pause would keep it running, and no other task or timer
//! would run meanwhile.

use std::time::Duration;

use monoio::time::sleep;

/// Input that a task handles before other tasks and timers run, in bytes.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// What an item of input costs beside its bytes, as many small items are dearer than a large one.
const ITEM_COST_BYTES: usize = 256;
/// The pause after a turn: the resolution of the executor's timers. Waking the task at once would
/// not do, as timers fire only when no task is ready to run.
const PAUSE: Duration = Duration::from_millis(1);

/// The input that a task has handled since its last pause.
#[derive(Debug, Default)]
pub struct Turn {
    spent_bytes: usize,
}

impl Turn {
    /// Accounts for an item of input, such as a read, a datagram or a decoded chunk.
    pub fn spend(&mut self, bytes: usize) {
        self.spent_bytes = self.spent_bytes.saturating_add(bytes).saturating_add(ITEM_COST_BYTES);
    }

    /// Lets other tasks and timers run if the turn is used up.
    ///
    /// To be called before an item is taken: the future can then be dropped without losing one.
    pub async fn pause_if_spent(&mut self) {
        if self.spent_bytes >= MAX_TURN_BYTES {
            *self = Self::default();
            sleep(PAUSE).await;
        }
    }

    /// Begins a new turn, when the task has waited for something else.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests {
    use std::{cell::Cell, rc::Rc};

    use super::*;

    /// Guards against tasks that are woken at once: they would keep timers from firing.
    #[test]
    fn timers_fire_while_tasks_always_find_input() {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("the runtime can create its epoll descriptor");
        runtime.block_on(async {
            let has_fired = Rc::new(Cell::new(false));
            let tasks = [0, 1].map(|_| {
                let has_fired = Rc::clone(&has_fired);
                monoio::spawn(async move {
                    let mut turn = Turn::default();
                    while !has_fired.get() {
                        turn.pause_if_spent().await;
                        turn.spend(4096);
                    }
                })
            });
            sleep(Duration::from_millis(20)).await;
            has_fired.set(true);
            for task in tasks {
                task.await;
            }
        });
    }
}
