//! SIGHUP: the configuration is read again.
//!
//! A sound file is in force from then on, its addresses and its settings; of a faulty one nothing is, and the log names
//! all its faults. What follows from descriptors and memory, and whether discovery is polled, stays until the next start.

use super::config::{self, Addresses, Config, ConfigError, Limits};
use super::discovery::DiscoveryClient;
use super::engine::EngineDriver;
use super::resp::downstream::RequestCatalog;
use super::resp::upstream::UpstreamPool;
use super::shutdown::unix;
use super::start_error::StartError;
use super::task::spawn;
use crate::api::{Event, Settings};
use quartzcleat_admin::ClassIndices;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

#[cfg(test)]
mod crossings;
#[cfg(test)]
mod tests;

/// The parts of a limiter that follow a new configuration.
pub struct ReloadParts {
    /// Times and counts that follow from the settings.
    pub limits: Rc<Limits>,
    /// Takes the settings.
    pub engine: Rc<EngineDriver>,
    /// Connections to hosts.
    pub upstream: Rc<UpstreamPool>,
    /// The endpoint list, which numbers the zones.
    pub discovery: Rc<DiscoveryClient>,
    /// Where the services listen, for those who follow their moves.
    pub addresses: watch::Sender<Addresses>,
}

/// Owns the configuration in force and what follows from it directly.
pub struct ConfigReloader {
    parts: ReloadParts,
    /// The configuration in force, as it was read.
    file: RefCell<Value>,
    /// The indices of classes and plans.
    indices: RefCell<ClassIndices>,
    /// What a request may ask for.
    catalog: Rc<RefCell<RequestCatalog>>,
}

impl ConfigReloader {
    /// The configuration that the process starts with: `file` as it was read, and the settings in it.
    pub fn new(parts: ReloadParts, file: Value, settings: &Settings) -> Self {
        let indices = ClassIndices::new(settings);
        let catalog = RequestCatalog::new(settings, &indices.accepted(0));
        ConfigReloader {
            parts,
            file: RefCell::new(file),
            indices: RefCell::new(indices),
            catalog: Rc::new(RefCell::new(catalog)),
        }
    }

    /// What a request may ask for, as the configuration in force has it.
    pub fn catalog(&self) -> Rc<RefCell<RequestCatalog>> {
        self.catalog.clone()
    }

    /// Reads the configuration again at each SIGHUP from now on.
    ///
    /// # Errors
    /// The signal handler cannot be installed.
    pub fn watch(self: &Rc<Self>) -> Result<(), StartError> {
        let mut hangup = signal(SignalKind::hangup()).map_err(|source| StartError::Signal {
            signal: "SIGHUP",
            source,
        })?;
        let reloader = self.clone();
        spawn(async move {
            while hangup.recv().await.is_some() {
                let read = config::reload_from_environment(&reloader.file.borrow());
                reloader.apply(read);
            }
        });
        Ok(())
    }

    /// Puts a configuration into force. A faulty one is reported, and the one before stays.
    fn apply(self: &Rc<Self>, read: Result<Config, ConfigError>) {
        let config = match read {
            Err(error) => return tracing::warn!(%error, "configuration rejected"),
            Ok(config) => config,
        };
        self.file.replace(config.file);
        let addresses = config.addresses;
        self.parts
            .addresses
            .send_if_modified(|held| std::mem::replace(held, addresses) != addresses);
        self.parts.limits.update_from(&config.limits);
        self.parts
            .upstream
            .set_report_source(config.settings.discovery.report_source);
        let mut settings = config.settings;
        // Zones keep their indices, as classes and plans do.
        settings.limiters.own_zone = self
            .parts
            .discovery
            .endpoints()
            .borrow_mut()
            .zone(&config.zone_names, settings.limiters.own_zone);
        let indexed = self.indices.borrow_mut().apply(&settings, unix());
        self.parts.engine.apply_limits(&config.limits);
        let accepted = self.indices.borrow().accepted(unix());
        self.catalog
            .replace(RequestCatalog::new(&indexed, &accepted));
        tracing::info!(
            classes = settings.classes.len(),
            plans = settings.plans.len(),
            "configuration applied"
        );
        self.parts.engine.handle(Event::SettingsChanged {
            settings: Box::new(indexed),
        });
        spawn(self.clone().retire_classes());
    }

    /// Stops accepting requests of removed classes and plans, some time after their removal.
    async fn retire_classes(self: Rc<Self>) {
        sleep(Duration::from_nanos(ClassIndices::accepted_after_removal())).await;
        let accepted = self.indices.borrow().accepted(unix());
        self.catalog.borrow_mut().retain(&accepted);
    }
}
