//! Reload of the configuration at SIGHUP.
//!
//! The addresses and settings of a valid file take effect at once. An invalid file changes nothing, and the log names
//! all its faults. Limits that are derived from the process's descriptors and memory stay until the next start, and so
//! does the choice between polled and pushed discovery.

use super::config::{self, Addresses, Config, ConfigError, Limits};
use super::discovery::DiscoveryClient;
use super::engine::EngineDriver;
use super::resp::downstream::RequestCatalog;
use super::resp::upstream::UpstreamPool;
use super::signals::{self, SignalError};
use super::task::spawn;
use super::unix_time;
use crate::api::{Event, Settings};
use quartzcleat_admin::ClassIndices;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

#[cfg(test)]
mod race_tests;
#[cfg(test)]
mod tests;

/// The parts of the configuration in force that a reload replaces.
pub struct ActiveConfig {
    /// Addresses of the services, for the tasks that follow their changes.
    addresses: watch::Sender<Addresses>,
    /// Content of the file as it was read.
    file: RefCell<Value>,
    /// Indices of classes and plans.
    indices: RefCell<ClassIndices>,
    /// Classes and plans that a request may name.
    catalog: Rc<RefCell<RequestCatalog>>,
}

impl ActiveConfig {
    /// Creates the configuration that the process starts with: `file` as it was read, and the settings in it.
    pub fn new(file: Value, settings: &Settings, addresses: Addresses) -> Self {
        let indices = ClassIndices::new(settings);
        let catalog = RequestCatalog::new(settings, &indices.accepted(0));
        ActiveConfig {
            addresses: watch::Sender::new(addresses),
            file: RefCell::new(file),
            indices: RefCell::new(indices),
            catalog: Rc::new(RefCell::new(catalog)),
        }
    }

    /// Returns a receiver that follows the addresses of the services.
    pub fn subscribe_addresses(&self) -> watch::Receiver<Addresses> {
        self.addresses.subscribe()
    }

    fn set_addresses(&self, addresses: Addresses) {
        self.addresses
            .send_if_modified(|current| std::mem::replace(current, addresses) != addresses);
    }

    /// Assigns indices to the classes and plans of new settings, and accepts requests that name them. Returns the
    /// settings with all classes and plans at their indices.
    fn set_classes(&self, settings: &Settings) -> Settings {
        let indexed = self.indices.borrow_mut().apply(settings, unix_time::now());
        let accepted = self.indices.borrow().accepted(unix_time::now());
        self.catalog
            .replace(RequestCatalog::new(&indexed, &accepted));
        indexed
    }

    /// Stops accepting requests that name a class or plan whose grace period after its removal is over.
    fn retire_classes(&self) {
        let accepted = self.indices.borrow().accepted(unix_time::now());
        self.catalog.borrow_mut().retain(&accepted);
    }
}

/// Reloads the configuration and passes it to the components that use it.
pub struct ConfigReloader {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    discovery: Rc<DiscoveryClient>,
    active_config: ActiveConfig,
}

impl ConfigReloader {
    /// Creates a reloader; `active_config` is the configuration that the process starts with.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        upstream: &Rc<UpstreamPool>,
        discovery: &Rc<DiscoveryClient>,
        active_config: ActiveConfig,
    ) -> Self {
        ConfigReloader {
            limits: limits.clone(),
            engine: engine.clone(),
            upstream: upstream.clone(),
            discovery: discovery.clone(),
            active_config,
        }
    }

    /// Returns the classes and plans that a request may name under the configuration in force.
    pub fn catalog(&self) -> Rc<RefCell<RequestCatalog>> {
        self.active_config.catalog.clone()
    }

    /// Starts to reload the configuration at each SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the signal handler cannot be installed.
    pub fn watch(self: &Rc<Self>) -> Result<(), SignalError> {
        let mut hangup = signals::on_hangup()?;
        let reloader = self.clone();
        spawn(async move {
            while hangup.recv().await.is_some() {
                let result = config::reload_from_environment(&reloader.active_config.file.borrow());
                reloader.apply(result);
            }
        });
        Ok(())
    }

    /// Applies a configuration. An error is logged, and the configuration in force stays.
    fn apply(self: &Rc<Self>, result: Result<Config, ConfigError>) {
        let config = match result {
            Err(error) => return tracing::warn!(%error, "configuration rejected"),
            Ok(config) => config,
        };
        self.active_config.file.replace(config.file);
        self.active_config.set_addresses(config.addresses);
        self.limits.update_from(&config.limits);
        self.upstream
            .set_report_source(config.settings.discovery.report_source);
        self.engine.apply_limits(&config.limits);
        self.apply_settings(config.settings, &config.zone_names);
        spawn(self.clone().retire_classes());
    }

    /// Applies settings. Zones, classes and plans keep the indices that they had before.
    fn apply_settings(&self, mut settings: Settings, zone_names: &[String]) {
        settings.limiters.own_zone = self.discovery.zone(zone_names, settings.limiters.own_zone);
        let indexed = self.active_config.set_classes(&settings);
        tracing::info!(
            classes = settings.classes.len(),
            plans = settings.plans.len(),
            "configuration applied"
        );
        self.engine.handle(Event::SettingsChanged {
            settings: Box::new(indexed),
        });
    }

    /// Waits for the grace period of removed classes and plans, and then stops accepting requests that name them.
    async fn retire_classes(self: Rc<Self>) {
        sleep(Duration::from_nanos(ClassIndices::removal_grace())).await;
        self.active_config.retire_classes();
    }
}
