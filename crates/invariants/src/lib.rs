//! What was asked, sent, run and answered, as records, and the rules that hold over them whoever played: the world
//! in virtual time or limiters on sockets. Knows neither of the two.

pub mod checker;
pub mod record;
pub mod story;

pub use checker::{check, Broken, Rule, Terms};
pub use record::{Answered, Cast, Player, Record, What};
