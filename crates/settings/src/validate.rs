//! Checks that decoded settings fit together.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::platform_settings::PlatformSettings;
use garnetwall::api::QueryClass;

impl PlatformSettings {
    /// Checks that a gateway can serve under these settings: there is at least one query class, each has a name and a
    /// deadline, no name stands for two things, and the zones and kinds that a class allows exist.
    ///
    /// # Errors
    ///
    /// The first key that fails one of these checks.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let classes = &self.settings.classes;
        if classes.is_empty() {
            return Err(SettingsError::new(
                "settings.categories",
                SettingsErrorCause::Empty,
                "name at least one service group",
            ));
        }
        check_names("settings.categories", &self.names.classes)?;
        check_names("settings.tenants", &self.names.tenants)?;
        classes
            .iter()
            .enumerate()
            .try_for_each(|(index, class)| self.check_class(index, class))
    }

    fn check_class(&self, index: usize, class: &QueryClass) -> Result<(), SettingsError> {
        let place = |key: &str| format!("settings.categories.{index}.{key}");
        if class.deadline <= 0.0 {
            let remedy = "write how long its clients wait, in milliseconds";
            let cause = SettingsErrorCause::Missing;
            return Err(SettingsError::new(place("give-up"), cause, remedy));
        }
        let zones = class.zones.as_deref().unwrap_or_default();
        check_indices(
            &place("zones-only"),
            zones,
            "settings.zones",
            &self.names.zones,
        )?;
        let kinds = class.kinds.as_deref().unwrap_or_default();
        check_indices(
            &place("allowed-on"),
            kinds,
            "settings.kinds",
            &self.names.kinds,
        )
    }
}

/// Checks that every item of a list has a name, and one of its own.
fn check_names(list: &str, names: &[String]) -> Result<(), SettingsError> {
    for (index, name) in names.iter().enumerate() {
        let place = format!("{list}.{index}.name");
        if name.is_empty() {
            let cause = SettingsErrorCause::Missing;
            return Err(SettingsError::new(place, cause, "name it, as calls do"));
        }
        if names[..index].contains(name) {
            let cause = SettingsErrorCause::Duplicate(name.clone());
            return Err(SettingsError::new(
                place,
                cause,
                "give each a name of its own",
            ));
        }
    }
    Ok(())
}

/// Checks that every index is that of a name. Where the settings name none, there is one item without a name.
fn check_indices(
    place: &str,
    indices: &[u32],
    list: &str,
    names: &[String],
) -> Result<(), SettingsError> {
    let count = names.len().max(1);
    let Some(index) = indices.iter().find(|index| **index as usize >= count) else {
        return Ok(());
    };
    let cause = SettingsErrorCause::Unknown(index.to_string());
    let remedy = format!("write a name of {list}, or its place there from 0");
    Err(SettingsError::new(place, cause, remedy))
}
