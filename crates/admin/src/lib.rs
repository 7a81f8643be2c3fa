//! What on-call staff order of a limiter, decided without sockets, files or a clock: the calls of the console, the
//! servers that are out of service, whether clients are sent away, and what two processes of one limiter tell each
//! other. Times are Unix time in nanoseconds, so that two processes on one machine agree on them.

mod bans;
mod calls;
mod doors;
mod heritage;
mod retune;
mod state;

pub use bans::{Bans, Unknown, Word};
pub use calls::{understand, Call, Wrong};
pub use doors::{Doors, Phase, Times};
pub use heritage::Heritage;
pub use retune::Numbers;
pub use state::{State, Switch, VERSION};
