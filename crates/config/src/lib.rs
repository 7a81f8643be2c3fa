//! Settings, each with its place in the file it came from: the trees that YAML and JSON are read into, the faults
//! that are found in them, quantities with units, the platform's settings of a day and our own file.
//!
//! Knows no sockets and no decisions. All faults of a file are found in one reading.

pub mod complete;
pub mod day;
pub mod fault;
pub mod figure;
pub mod lease;
pub mod platform;
pub mod product;
pub mod quantity;
pub mod reader;
pub mod tree;

pub use day::Day;
pub use fault::{Fault, Faults};
pub use product::Product;
pub use reader::Reader;
pub use tree::Node;
