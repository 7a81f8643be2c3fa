//! Configuration files with source locations: YAML and JSON trees, faults, quantities with units, the platform's
//! settings of a deployment, and the product's own file.
//!
//! All faults of a file are reported at once. The crate does no network I/O and makes no admission decisions.

pub mod deployment;
pub mod fault;
pub mod formula;
mod key_path;
pub mod lease;
pub mod platform;
pub mod product;
pub mod quantity;
pub mod reader;
pub mod replacement;
pub mod tree;
pub mod value;

pub use deployment::Deployment;
pub use fault::{Fault, Faults};
pub use product::ProductConfig;
pub use reader::Reader;
pub use tree::Node;
pub use value::ValueError;
