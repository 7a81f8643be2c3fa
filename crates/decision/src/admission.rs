//! Admission: sheds load while answers come late. Knows neither requests nor quotas nor hosts.

mod load_shedder;
mod snapshot;

pub(crate) use load_shedder::LoadShedder;
