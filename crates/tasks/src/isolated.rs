use std::panic::AssertUnwindSafe;

use futures::FutureExt;

/// Spawns a task whose panic ends only the task itself, not the process.
///
/// `name` is the kind of task in the log line of a panic. Use it for tasks that serve one peer:
/// an input that the code does not expect then costs one connection. State that the task shares
/// with others has to stay consistent when the task ends at any point.
pub fn spawn_isolated(name: &'static str, task: impl Future<Output = ()> + 'static) {
    monoio::spawn(async move {
        if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
            let cause = panic
                .downcast_ref::<String>()
                .map(String::as_str)
                .or_else(|| panic.downcast_ref::<&str>().copied())
                .unwrap_or("unknown");
            log::error!("event=task_panicked task={name} cause={cause:?}");
        }
    });
}

#[cfg(test)]
mod tests {
    use std::{cell::Cell, rc::Rc};

    use super::*;

    #[test]
    fn a_panic_ends_only_its_task() {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .build()
            .expect("the runtime can create its epoll descriptor");
        runtime.block_on(async {
            let has_run = Rc::new(Cell::new(false));
            spawn_isolated("test", async { panic!("unexpected input") });
            let later = Rc::clone(&has_run);
            spawn_isolated("test", async move { later.set(true) });
            while !has_run.get() {
                monoio::spawn(async {}).await;
            }
        });
    }
}
