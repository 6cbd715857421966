//! A process that was started here, which can be signalled and is killed at the end.

use std::process::{Child, Command, ExitStatus};

/// A running program; dropping it kills it.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    pub(crate) fn new(child: Child) -> Self {
        Self { child }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|s| s.success()), "the process is ours and was not reaped");
    }

    /// Says whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is ours")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
