//! Admission control, which sheds load while answers are late. Independent of requests, quotas and hosts.

mod load_shedder;
mod snapshot;

pub(crate) use load_shedder::LoadShedder;
