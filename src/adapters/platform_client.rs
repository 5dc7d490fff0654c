use {
    super::{AdapterError, JsonClient, JsonReply, Result},
    crate::wire::{
        CommitConflict, CommitRequest, CommitResponse, InstanceList, InstanceRow, ObjectKeys,
        RowCondition, RowList, TableRow,
    },
    bytes::Bytes,
    error_stack::Report,
    hyper::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// Result of a commit that the platform answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All writes took effect; the written rows have this version.
    Committed(u64),
    /// No write took effect. Lists the rows whose condition failed, with the versions they have.
    Conflict(Vec<RowCondition>),
}

/// Client of the platform's table service, object store and instance list.
///
/// A commit that ends in [`AdapterError::Interrupted`] may have taken effect. The caller finds out
/// by reading the rows.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: JsonClient,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client whose calls each end after `timeout` at the latest.
    #[must_use]
    pub fn new(address: SocketAddr, failure_domain: &str, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(failure_domain),
            address,
            timeout,
        }
    }

    /// Reads a row; `None` when it does not exist.
    ///
    /// # Errors
    /// See [`AdapterError`].
    pub async fn read(&self, key: &str) -> Result<Option<TableRow>> {
        let reply = self.get(&format!("/v1/rows/{key}")).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_ok(&reply)?.decode().map(Some)
    }

    /// Reads all rows whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// See [`AdapterError`].
    pub async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>> {
        let reply = self.get(&format!("/v1/rows?prefix={prefix}")).await?;
        let list: RowList = expect_ok(&reply)?.decode()?;
        Ok(list.rows)
    }

    /// Applies all writes in one step if all conditions hold, otherwise none.
    ///
    /// # Errors
    /// [`AdapterError::Connect`] if the commit was not sent. After [`AdapterError::Interrupted`] or
    /// a 5xx status, the commit may or may not have taken effect.
    pub async fn commit(&self, request: &CommitRequest) -> Result<CommitOutcome> {
        let reply = self
            .client
            .send(
                Method::POST,
                self.address,
                "/v1/commit",
                request,
                self.timeout,
            )
            .await?;
        if reply.status == StatusCode::CONFLICT {
            let conflict: CommitConflict = reply.decode()?;
            return Ok(CommitOutcome::Conflict(conflict.conflicts));
        }
        let response: CommitResponse = expect_ok(&reply)?.decode()?;
        Ok(CommitOutcome::Committed(response.version))
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    /// See [`AdapterError`].
    pub async fn read_object(&self, key: &str) -> Result<Option<Bytes>> {
        let reply = self.get(&format!("/v1/objects/{key}")).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(expect_ok(&reply)?.body.clone()))
    }

    /// Writes an object; replaces an existing one with the same key.
    ///
    /// # Errors
    /// See [`AdapterError`]. After [`AdapterError::Interrupted`] or a 5xx status, the write may
    /// have taken effect.
    pub async fn write_object(&self, key: &str, body: Bytes) -> Result<()> {
        let path = format!("/v1/objects/{key}");
        let reply = self
            .client
            .call(Method::PUT, self.address, &path, body, self.timeout)
            .await?;
        expect_ok(&reply).map(|_| ())
    }

    /// Lists the keys of all objects whose key starts with `prefix`.
    ///
    /// # Errors
    /// See [`AdapterError`].
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>> {
        let reply = self.get(&format!("/v1/objects?prefix={prefix}")).await?;
        let list: ObjectKeys = expect_ok(&reply)?.decode()?;
        Ok(list.keys)
    }

    /// Reads the list of instances, which may lag behind their state.
    ///
    /// # Errors
    /// See [`AdapterError`].
    pub async fn list_instances(&self) -> Result<Vec<InstanceRow>> {
        let reply = self.get("/v1/instances").await?;
        let list: InstanceList = expect_ok(&reply)?.decode()?;
        Ok(list.instances)
    }

    async fn get(&self, path: &str) -> Result<JsonReply> {
        self.client
            .call(Method::GET, self.address, path, Bytes::new(), self.timeout)
            .await
    }
}

fn expect_ok(reply: &JsonReply) -> Result<&JsonReply> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    // After a 5xx answer, a write may or may not have taken effect.
    Err(Report::new(AdapterError::Status(reply.status.as_u16())))
}
