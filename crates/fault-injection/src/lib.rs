//! Trials: many real processes of the program on loopback, with relays between them that lose, delay, repeat and
//! reorder what passes, and faults drawn from a seed or named by a story: cuts, pauses, kills, restarts. The targets of
//! acts write one history with one clock, and [`verdict`] judges it. A trial that never reached what it is for is empty,
//! which is a failure too.

pub mod link;
pub mod play;
pub mod process;
pub mod row;
pub mod shrink;
pub mod story;
pub mod target;
pub mod verdict;

pub use play::{play, Ground, Played};
pub use row::Row;
pub use shrink::shrink;
pub use story::{Fault, Story};
pub use verdict::{judge, Verdict};
