//! Model engines and plain services, by dialect.
//!
//! The `openai` dialect is the published one of OpenAI-compatible engines:
//! `/v1/chat/completions`, `/v1/completions`, `/v1/models` and
//! `/v1/load_lora_adapter`, `/v1/unload_lora_adapter`. Orders carry the fencing
//! number in a header that engines may check.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use fleet::Name;
use kernel::{
    Kernel,
    plugin::{self, Plugin},
};

use crate::http::{self, Error};

/// Header with the fencing number of an order.
pub const FENCE_HEADER: &str = "x-fencing-number";
/// Header that names the request; engines repeat it in the answer.
pub const REQUEST_HEADER: &str = "x-request-id";

/// How one kind of engine takes its orders.
#[derive(Debug)]
pub struct Dialect {
    pub name: &'static str,
    /// Order to load an adapter under a name.
    pub load: fn(model: &str) -> Request<Full<Bytes>>,
    /// Order to drop it.
    pub unload: fn(model: &str) -> Request<Full<Bytes>>,
    /// Question which adapters are loaded.
    pub loaded: fn() -> Request<Full<Bytes>>,
    pub parse_loaded: fn(&[u8]) -> Option<Vec<Name>>,
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
        load: |model| order("/v1/load_lora_adapter", model),
        unload: |model| order("/v1/unload_lora_adapter", model),
        loaded: || http::get("/v1/models"),
        parse_loaded,
    }
}

/// One engine or plain service.
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

    /// Sends a caller's request.
    ///
    /// # Errors
    ///
    /// See [`http::send`].
    pub async fn run(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        http::send(&self.kernel, self.address, request).await
    }

    /// Orders the engine to load an adapter.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`].
    pub async fn load(&self, model: &str, fence: u64, limit: Duration) -> Result<(), Error> {
        self.order((self.dialect.load)(model), fence, limit).await
    }

    /// Orders the engine to drop an adapter.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`].
    pub async fn unload(&self, model: &str, fence: u64, limit: Duration) -> Result<(), Error> {
        self.order((self.dialect.unload)(model), fence, limit).await
    }

    /// Names of the adapters that are loaded.
    ///
    /// # Errors
    ///
    /// See [`http::fetch`].
    pub async fn loaded(&self, limit: Duration) -> Result<Vec<Name>, Error> {
        let request = (self.dialect.loaded)();
        let response = http::fetch(&self.kernel, self.address, request, limit).await?;
        (self.dialect.parse_loaded)(response.body())
            .ok_or_else(|| Error::Unreadable { reason: "no list of models".to_owned() })
    }

    async fn order(
        &self,
        mut request: Request<Full<Bytes>>,
        fence: u64,
        limit: Duration,
    ) -> Result<(), Error> {
        request.headers_mut().insert(FENCE_HEADER, fence.into());
        http::fetch(&self.kernel, self.address, request, limit).await?;
        Ok(())
    }
}

/// The body's `lora_path` is the adapter's name in the weight store.
fn order(path: &str, model: &str) -> Request<Full<Bytes>> {
    let body = json!({ "lora_name": model, "lora_path": model });
    http::post(path, "application/json", body.to_string())
}

fn parse_loaded(body: &[u8]) -> Option<Vec<Name>> {
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
