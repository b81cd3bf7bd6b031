//! HTTP client of the platform's table service and VM list.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;

use crate::{lists, proto};

/// Timeout for connecting to the platform, and time within which its response to a request must begin.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

quick_error! {
    /// The reason why a request to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The platform could not be reached or reported that it is unavailable; nothing was
        /// written.
        Unavailable(message: String) {
            display("platform unavailable: {}", message)
        }
        /// A transaction was rejected because a row has changed since it was read.
        Conflict(conflict: proto::Conflict) {
            display(
                "conflict: {}/{} is now at version {}",
                conflict.table, conflict.key, conflict.current_version
            )
        }
        /// The request was sent but got no response; the write may or may not have taken effect.
        Unknown(message: String) {
            display("outcome unknown: {}", message)
        }
        /// The platform sent a response with an unexpected status or a body that cannot be decoded.
        BadResponse(message: String) {
            display("bad response from platform: {}", message)
        }
    }
}

/// A client of the platform at one address, which keeps one connection open.
pub struct Store {
    addr: SocketAddr,
    conn: RefCell<Option<web::Conn>>,
}

impl Store {
    /// Creates a client of the platform at `addr`. It connects with the first request.
    pub fn new(addr: SocketAddr) -> Store {
        Store { addr, conn: RefCell::new(None) }
    }

    /// Reads one row; returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::BadResponse`].
    pub async fn get(&self, table: &str, key: &str) -> Result<Option<proto::Row>, StoreError> {
        let response =
            self.call(http::Method::GET, &format!("/v1/rows/{table}/{key}"), Bytes::new()).await;
        let response = response.map_err(read_error)?;
        match response.status() {
            http::StatusCode::NOT_FOUND => Ok(None),
            http::StatusCode::OK => decode(response.body()).map(Some),
            status => Err(status_error(status, response.body())),
        }
    }

    /// Reads every row of `table` written after commit `since`, and the table service's latest
    /// commit. Rows that cannot be decoded are left out and logged.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::BadResponse`].
    pub async fn since(
        &self,
        table: &str,
        since: proto::Version,
    ) -> Result<proto::Rows, StoreError> {
        let body = self.read(&format!("/v1/rows/{table}?since={since}")).await?;
        lists::rows(&body, since).map_err(bad_response)
    }

    /// Commits all writes of `txn`, or none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when a row has changed since it was read; [`StoreError::Unknown`]
    /// when the request may have been sent but got no response, so that the caller must look for
    /// the change id in the written rows to learn the outcome; [`StoreError::Unavailable`] when
    /// nothing was sent or the platform refused before writing; [`StoreError::BadResponse`].
    pub async fn commit(&self, txn: &proto::Txn) -> Result<proto::Committed, StoreError> {
        let body =
            Bytes::from(serde_json::to_vec(txn).expect("transaction can be serialized as JSON"));
        let response = match self.call(http::Method::POST, "/v1/txn", body).await {
            Ok(response) => response,
            Err(web::Error::Connect(message)) => return Err(StoreError::Unavailable(message)),
            Err(other) => return Err(StoreError::Unknown(other.to_string())),
        };
        match response.status() {
            http::StatusCode::OK => decode(response.body()),
            http::StatusCode::CONFLICT => Err(StoreError::Conflict(decode(response.body())?)),
            status => Err(status_error(status, response.body())),
        }
    }

    /// Reads the VM list, which may lag behind the actual VMs. Entries that cannot be decoded are left
    /// out and logged.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::BadResponse`].
    pub async fn vms(&self) -> Result<Vec<proto::Vm>, StoreError> {
        let body = self.read("/v1/vms").await?;
        lists::vms(&body).map_err(bad_response)
    }

    /// Reads the changes of the VM list after version `since`; 0 reads the whole list. Entries that
    /// cannot be decoded are left out and logged.
    ///
    /// A response without changes takes a few hundred bytes whatever the size of the list, and the
    /// whole list about 105 bytes per VM (docs/CAPACITY.md).
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::BadResponse`].
    pub async fn vm_changes(&self, since: proto::Version) -> Result<proto::VmChanges, StoreError> {
        let body = self.read(&format!("/v1/vms?since={since}")).await?;
        lists::vm_changes(&body, since).map_err(bad_response)
    }

    /// Reads `path` and returns the body of a response with status 200.
    async fn read(&self, path: &str) -> Result<Bytes, StoreError> {
        let response =
            self.call(http::Method::GET, path, Bytes::new()).await.map_err(read_error)?;
        match response.status() {
            http::StatusCode::OK => Ok(response.into_body()),
            status => Err(status_error(status, response.body())),
        }
    }

    /// Sends one request on the open connection, connecting first when there is none.
    ///
    /// A failed request closes the connection, since its stream may be in the middle of a message.
    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<web::Response, web::Error> {
        // Ends the borrow before the first await: a concurrent call must be able to borrow the
        // cell.
        let open = self.conn.borrow_mut().take();
        let mut conn = match open {
            Some(conn) => conn,
            None => {
                let mut conn = web::Conn::connect(self.addr, CALL_TIMEOUT).await?;
                conn.limit_body(MAX_RESPONSE_BYTES);
                conn
            }
        };
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.addr.to_string())
            .body(body)
            .expect("request has a valid method, path and host");
        let response = conn.send_for_large_response(request, CALL_TIMEOUT).await?;
        *self.conn.borrow_mut() = Some(conn).filter(web::Conn::is_reusable);
        Ok(response)
    }
}

fn read_error(err: web::Error) -> StoreError {
    StoreError::Unavailable(err.to_string())
}

fn status_error(status: http::StatusCode, body: &Bytes) -> StoreError {
    let text = String::from_utf8_lossy(body);
    match status {
        http::StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable(text.into_owned()),
        _ => StoreError::BadResponse(format!("status {status}: {text}")),
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(bad_response)
}

fn bad_response(err: impl std::fmt::Display) -> StoreError {
    StoreError::BadResponse(err.to_string())
}
