//! What the tasks of a process share: mailboxes, listeners, counts and the request to stop.

mod count_guard;
mod listen;
mod mailbox;
mod stop;

pub use count_guard::CountGuard;
pub use listen::listen;
pub use mailbox::Mailbox;
pub use stop::StopHandle;
