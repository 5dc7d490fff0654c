use {
    super::{AdapterError, PlatformClient, Result},
    crate::{
        conf::parse_operator_text,
        core::apply::{CONFIG_ROW, ConfigPointer, text_key},
        core::view::Configuration,
        wire::TableRow,
    },
    error_stack::{Report, ResultExt},
    std::sync::Arc,
};

/// Reads the pointer to the newest configuration, with its row; `None` if none was applied yet.
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

/// Reads the newest configuration if its version is higher than `current_version`; otherwise
/// returns `None`.
///
/// # Errors
/// See [`AdapterError`].
pub async fn fetch_newer(
    platform: &PlatformClient,
    current_version: u64,
) -> Result<Option<Arc<Configuration>>> {
    let Some((pointer, _)) = read_pointer(platform).await? else {
        return Ok(None);
    };
    if pointer.version <= current_version {
        return Ok(None);
    }
    let body = read_text(platform, &pointer.digest).await?;
    let text = parse_operator_text(&body).change_context(AdapterError::Protocol)?;
    Ok(Some(Arc::new(Configuration {
        version: pointer.version,
        text,
    })))
}

/// Reads the operator text with the blake3 digest `digest`, in hexadecimal, and verifies it.
///
/// # Errors
/// [`AdapterError::Protocol`] if the object is missing, has another digest or is not UTF-8; else
/// the errors of [`PlatformClient::read_object`].
pub async fn read_text(platform: &PlatformClient, digest: &str) -> Result<String> {
    let key = text_key(digest);
    let Some(body) = platform.read_object(&key).await? else {
        return Err(Report::new(AdapterError::Protocol).attach(format!("object {key} is missing")));
    };
    let found = blake3::hash(&body).to_hex();
    if found.as_str() != digest {
        let problem = format!("object {key} has the wrong digest {found}");
        return Err(Report::new(AdapterError::Protocol).attach(problem));
    }
    String::from_utf8(body.to_vec()).change_context(AdapterError::Protocol)
}
