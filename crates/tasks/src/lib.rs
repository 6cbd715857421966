//! Utilities shared by the tasks of a process: mailboxes, listeners, counters, turns on the executor
//! and a stop flag.
//!
//! Except for [`StopHandle`], the types serve tasks on one thread.

mod count_guard;
mod isolated;
mod listen;
mod mailbox;
mod stop;
mod turn;

pub use count_guard::CountGuard;
pub use isolated::spawn_isolated;
pub use listen::listen;
pub use mailbox::Mailbox;
pub use stop::StopHandle;
pub use turn::Turn;
