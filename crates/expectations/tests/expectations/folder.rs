//! A temporary folder with a deployment's settings, an installation and an expectation file.

use quartzcleat_expectations::{check, CheckReport, Options};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

pub(crate) const SETTINGS: &str = include_str!("../../../../deploy/imlil-main.yaml");
const INSTALLATION: &str = include_str!("../../../../deploy/expectations/installation.yaml");

/// A temporary folder that is removed when dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "quartzcleat-expect-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).expect("the folder can be created");
        folder.write("settings.yaml", SETTINGS);
        folder.write("installation.yaml", INSTALLATION);
        folder
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path
    }

    pub(crate) fn check(
        &self,
        expectations: &str,
        change: impl FnOnce(&mut Options),
    ) -> CheckReport {
        let text = format!(
            "settings: settings.yaml\ninstallation: installation.yaml\nexpectations:\n{expectations}"
        );
        let path = self.write("e.yaml", &text);
        let mut options = Options {
            paths: vec![path],
            jobs: 2,
            ..Options::default()
        };
        change(&mut options);
        check(&options)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed does not affect the test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
