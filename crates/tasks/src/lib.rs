//! What the tasks of a process share: mailboxes, listeners, counts and the request to stop.

mod counted;
mod listen;
mod mailbox;
mod stop;

pub use counted::Counted;
pub use listen::listen;
pub use mailbox::Mailbox;
pub use stop::StopHandle;
