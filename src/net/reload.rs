//! SIGHUP: the configuration is read again.
//!
//! The addresses and settings of a sound file are in force from then on. A faulty file changes nothing, and the log
//! names all its faults. Limits that follow from the process's descriptors and memory stay until the next start, and so
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

/// The configuration in force.
pub struct ActiveConfig {
    /// The addresses of the services, for the tasks that follow their changes.
    addresses: watch::Sender<Addresses>,
    /// The file as it was read.
    file: RefCell<Value>,
    /// The indices of classes and plans.
    indices: RefCell<ClassIndices>,
    /// The classes and plans that a request may name.
    catalog: Rc<RefCell<RequestCatalog>>,
}

impl ActiveConfig {
    /// The configuration that the process starts with: `file` as it was read, and the settings in it.
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

    /// A receiver that follows the addresses of the services.
    pub fn subscribe_addresses(&self) -> watch::Receiver<Addresses> {
        self.addresses.subscribe()
    }

    fn set_addresses(&self, addresses: Addresses) {
        self.addresses
            .send_if_modified(|held| std::mem::replace(held, addresses) != addresses);
    }

    /// Gives the classes and plans of new settings their indices, and accepts requests that name them.
    fn set_classes(&self, settings: &Settings) -> Settings {
        let indexed = self.indices.borrow_mut().apply(settings, unix_time::now());
        let accepted = self.indices.borrow().accepted(unix_time::now());
        self.catalog
            .replace(RequestCatalog::new(&indexed, &accepted));
        indexed
    }

    /// Stops accepting requests of classes and plans that were removed long enough ago.
    fn retire_classes(&self) {
        let accepted = self.indices.borrow().accepted(unix_time::now());
        self.catalog.borrow_mut().retain(&accepted);
    }
}

/// Reloads the configuration and hands it to the parts that follow it.
pub struct ConfigReloader {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    discovery: Rc<DiscoveryClient>,
    active_config: ActiveConfig,
}

impl ConfigReloader {
    /// A reloader of the configuration that the process starts with.
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

    /// The classes and plans that a request may name, by the configuration in force.
    pub fn catalog(&self) -> Rc<RefCell<RequestCatalog>> {
        self.active_config.catalog.clone()
    }

    /// Reads the configuration again at each SIGHUP from now on.
    ///
    /// # Errors
    /// The signal handler cannot be installed.
    pub fn watch(self: &Rc<Self>) -> Result<(), SignalError> {
        let mut hangup = signals::on_hangup()?;
        let reloader = self.clone();
        spawn(async move {
            while hangup.recv().await.is_some() {
                let read = config::reload_from_environment(&reloader.active_config.file.borrow());
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
        self.active_config.file.replace(config.file);
        self.active_config.set_addresses(config.addresses);
        self.limits.update_from(&config.limits);
        self.upstream
            .set_report_source(config.settings.discovery.report_source);
        self.engine.apply_limits(&config.limits);
        self.apply_settings(config.settings, &config.zone_names);
        spawn(self.clone().retire_classes());
    }

    /// Applies settings in which zones, classes and plans keep the indices that they had before.
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

    /// Stops accepting requests of removed classes and plans, some time after their removal.
    async fn retire_classes(self: Rc<Self>) {
        sleep(Duration::from_nanos(ClassIndices::accepted_after_removal())).await;
        self.active_config.retire_classes();
    }
}
