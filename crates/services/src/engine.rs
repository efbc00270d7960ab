//! Client of a backend server: a model engine or a plain service.
//!
//! A dialect states how adapters are loaded, unloaded and listed. The `openai`
//! dialect is the public API of OpenAI-compatible engines:
//! `/v1/chat/completions`, `/v1/completions`, `/v1/models`,
//! `/v1/load_lora_adapter` and `/v1/unload_lora_adapter`. Requests to load or
//! unload carry the fencing token of the server's lease in a header that
//! engines may check.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::json;

use fleet::Name;
use kernel::{
    Kernel,
    plugin::{self, Plugin},
};

use crate::{
    body::Body,
    http::{self, Error},
};

/// Header with the fencing token of a request to load or unload.
pub const FENCING_TOKEN_HEADER: &str = "x-fencing-number";
/// Header with the id of a request; engines return it in the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// API of one kind of engine to manage adapters.
#[derive(Debug)]
pub struct Dialect {
    pub name: &'static str,
    /// Builds the request to load the adapter with a model name.
    pub load: fn(model: &str) -> Request<Full<Bytes>>,
    /// Builds the request to unload it.
    pub unload: fn(model: &str) -> Request<Full<Bytes>>,
    /// Builds the request for the list of loaded adapters.
    pub list: fn() -> Request<Full<Bytes>>,
    /// Parses the response to `list` into model names; `None` when it is malformed.
    pub parse_list: fn(&[u8]) -> Option<Vec<Name>>,
}

plugin::inventory::collect!(Dialect);

impl Plugin for Dialect {
    const KIND: &'static str = "engine dialect";

    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::submit! {
    Dialect {
        name: "openai",
        load: |model| adapter_request("/v1/load_lora_adapter", model),
        unload: |model| adapter_request("/v1/unload_lora_adapter", model),
        list: || http::get("/v1/models"),
        parse_list,
    }
}

/// Client of one engine or plain service; cheap to clone.
#[derive(Clone, Debug)]
pub struct Engine {
    kernel: Kernel,
    address: SocketAddr,
    dialect: &'static Dialect,
}

impl Engine {
    pub fn new(kernel: &Kernel, address: SocketAddr, dialect: &'static Dialect) -> Engine {
        Engine { kernel: kernel.clone(), address, dialect }
    }

    /// Sends the request of a caller.
    ///
    /// # Errors
    ///
    /// See [`http::send`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Body>, Error> {
        http::send(&self.kernel, self.address, request).await
    }

    /// Loads an adapter into the engine, within `timeout`.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`].
    pub async fn load(
        &self,
        model: &str,
        fencing_token: u64,
        timeout: Duration,
    ) -> Result<(), Error> {
        self.send_fenced((self.dialect.load)(model), fencing_token, timeout).await
    }

    /// Unloads an adapter from the engine, within `timeout`.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`].
    pub async fn unload(
        &self,
        model: &str,
        fencing_token: u64,
        timeout: Duration,
    ) -> Result<(), Error> {
        self.send_fenced((self.dialect.unload)(model), fencing_token, timeout).await
    }

    /// Returns the model names of the loaded adapters.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`]; [`Error::Unreadable`] when the list is malformed.
    pub async fn list_adapters(&self, timeout: Duration) -> Result<Vec<Name>, Error> {
        let request = (self.dialect.list)();
        let response = http::fetch(&self.kernel, self.address, request, timeout).await?;
        (self.dialect.parse_list)(response.body())
            .ok_or_else(|| Error::Unreadable { reason: "no list of models".to_owned() })
    }

    async fn send_fenced(
        &self,
        mut request: Request<Full<Bytes>>,
        fencing_token: u64,
        timeout: Duration,
    ) -> Result<(), Error> {
        request.headers_mut().insert(FENCING_TOKEN_HEADER, fencing_token.into());
        http::fetch(&self.kernel, self.address, request, timeout).await?;
        Ok(())
    }
}

/// Builds a request to load or unload an adapter. `lora_path` is its name in the weight store,
/// which equals its model name.
fn adapter_request(path: &str, model: &str) -> Request<Full<Bytes>> {
    let body = json!({ "lora_name": model, "lora_path": model });
    http::post(path, "application/json", body.to_string())
}

fn parse_list(body: &[u8]) -> Option<Vec<Name>> {
    #[derive(Deserialize)]
    struct Models {
        data: Vec<Model>,
    }
    #[derive(Deserialize)]
    struct Model {
        id: Name,
    }
    let models: Models = serde_json::from_slice(body).ok()?;
    Some(models.data.into_iter().map(|model| model.id).collect())
}
