//! Checks that decoded settings are consistent.

use crate::error::{SettingsError, SettingsErrorCause};
use crate::platform_settings::PlatformSettings;
use garnetwall::api::QueryClass;

impl PlatformSettings {
    /// Checks that a gateway can serve queries with these settings: there is at least one query class, each query class
    /// has a unique name and a deadline, each tenant has a unique name, and the zones and kinds that a class allows
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key that fails one of these checks.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let classes = &self.settings.classes;
        if classes.is_empty() {
            return Err(SettingsError::new(
                "settings.categories",
                SettingsErrorCause::Empty,
                "define at least one service group",
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
            let remedy = "set how long its clients wait, in milliseconds";
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

/// Checks that every item of a list has a name, and that the names are unique.
fn check_names(list: &str, names: &[String]) -> Result<(), SettingsError> {
    for (index, name) in names.iter().enumerate() {
        let place = format!("{list}.{index}.name");
        if name.is_empty() {
            let cause = SettingsErrorCause::Missing;
            return Err(SettingsError::new(
                place,
                cause,
                "set the name that clients use",
            ));
        }
        if names[..index].contains(name) {
            let cause = SettingsErrorCause::Duplicate(name.clone());
            return Err(SettingsError::new(
                place,
                cause,
                "give each item a unique name",
            ));
        }
    }
    Ok(())
}

/// Checks that every index is in range. If the settings name no items, there is one item without a name, at index 0.
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
    let remedy = format!("set a name of {list}, or its index there from 0");
    Err(SettingsError::new(place, cause, remedy))
}
