//! A child process that can be signalled and is killed when its handle is dropped.

use std::{
    fs,
    process::{Child, Command, ExitStatus},
};

/// A child process; dropping it kills the process and waits for it.
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

    /// Sends a signal by its name, such as `TERM`; panics when the process was already reaped.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "the signal could not be sent; the process may already be reaped"
        );
    }

    /// Returns the value of a line of `/proc/PID/status`, such as `VmHWM`, without its unit.
    ///
    /// Returns an empty string once the process has ended.
    pub fn status(&self, name: &str) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|l| l.split_whitespace().next()).unwrap_or_default().to_owned()
    }

    /// Returns the number of open file descriptors.
    pub fn descriptor_count(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end and returns its exit status.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is a child")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
