use {
    super::{AdapterError, PlatformClient, Result},
    crate::{conf::parse_operator_text, core::view::Configuration, wire::TableRow},
    error_stack::{Report, ResultExt},
    std::sync::Arc,
};

/// Key of the row that names the configuration in force.
pub const CONFIG_ROW: &str = "config/current";

wire_type! {
    /// Value of the row `config/current`.
    #[derive(Eq)]
    pub struct ConfigPointer {
        /// Version of the configuration; one more than the version that it replaced.
        pub version: u64,
        /// Hexadecimal blake3 digest of the text; its object is `config/<digest>`.
        pub digest: String,
        /// Who applied it.
        pub author: String,
    }
}

/// Reads the pointer row; `None` when nothing was applied yet.
///
/// # Errors
/// See [`AdapterError`].
pub async fn read_pointer(platform: &PlatformClient) -> Result<Option<(ConfigPointer, TableRow)>> {
    let Some(row) = platform.read(CONFIG_ROW).await? else {
        return Ok(None);
    };
    let pointer =
        serde_json::from_value(row.value.clone()).change_context(AdapterError::Protocol)?;
    Ok(Some((pointer, row)))
}

/// Reads the configuration when the platform has a higher version than `known`.
///
/// # Errors
/// See [`AdapterError`].
pub async fn fetch_newer(
    platform: &PlatformClient,
    known: u64,
) -> Result<Option<Arc<Configuration>>> {
    let Some((pointer, _)) = read_pointer(platform).await? else {
        return Ok(None);
    };
    if pointer.version <= known {
        return Ok(None);
    }
    let key = format!("config/{}", pointer.digest);
    let Some(body) = platform.read_object(&key).await? else {
        return Err(Report::new(AdapterError::Protocol).attach(format!("object {key} is missing")));
    };
    let digest = blake3::hash(&body).to_hex();
    if digest.as_str() != pointer.digest {
        return Err(Report::new(AdapterError::Protocol)
            .attach(format!("object {key} has the digest {digest}")));
    }
    let text = std::str::from_utf8(&body).change_context(AdapterError::Protocol)?;
    let text = parse_operator_text(text).change_context(AdapterError::Protocol)?;
    Ok(Some(Arc::new(Configuration {
        version: pointer.version,
        text,
    })))
}
