//! An HTTP client of the table service and the object store of the platform.

use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Semaphore;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::table::{
    BoxFuture, ObjectRequest, ObjectResponse, ObjectStore, PlatformError, TableRequest,
    TableResponse, TableStore,
};

/// The maximum number of requests in flight; further ones wait.
const REQUESTS_MAX: usize = 32;

/// The maximum size of a response body.
const RESPONSE_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// The maximum number of idle connections in the pool.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// A client of the platform, for use on a tokio runtime.
#[derive(Clone)]
pub struct PlatformClient {
    shared: Arc<Shared>,
}

struct Shared {
    base_url: String,
    timeout: Duration,
    permits: Semaphore,
    pool: Mutex<Pool>,
}

/// The current agent with its idle connections; the generation counts its replacements.
struct Pool {
    agent: Agent,
    generation: u64,
}

/// A whole HTTP response.
struct HttpResponse {
    status: u16,
    body: String,
}

impl PlatformClient {
    /// Creates a client of the platform at a base URL, such as `http://127.0.0.1:8090`.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        let pool = Pool {
            agent: new_agent(timeout),
            generation: 0,
        };
        let shared = Shared {
            base_url: base_url.trim_end_matches('/').to_string(),
            timeout,
            permits: Semaphore::new(REQUESTS_MAX),
            pool: Mutex::new(pool),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a blocking exchange on the blocking thread pool, once the limit of requests in flight
    /// permits it; fails with [`PlatformError::NotApplied`] if that takes longer than the timeout.
    async fn run<T: Send + 'static>(
        &self,
        exchange: impl FnOnce(&Shared) -> Result<T, PlatformError> + Send + 'static,
    ) -> Result<T, PlatformError> {
        let permit = self.shared.permits.acquire();
        let Ok(Ok(_permit)) = tokio::time::timeout(self.shared.timeout, permit).await else {
            return Err(PlatformError::NotApplied);
        };
        let shared = self.shared.clone();
        match tokio::task::spawn_blocking(move || exchange(&shared)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Lost),
        }
    }
}

fn new_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_idle_connections_per_host(IDLE_CONNECTIONS_MAX)
        .timeout_connect(Some(timeout / 2))
        .timeout_global(Some(timeout))
        .build();
    Agent::new_with_config(config)
}

impl Shared {
    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn table(&self, request: &TableRequest) -> Result<TableResponse, PlatformError> {
        let body = serde_json::to_string(request).map_err(|_| PlatformError::NotApplied)?;
        let url = format!("{}/table", self.base_url);
        let response = self.exchange(|agent| {
            agent
                .post(&url)
                .header("content-type", "application/json")
                .send(&body)
        })?;
        response.ensure_status(&[200])?;
        serde_json::from_str(&response.body).map_err(|_| PlatformError::Lost)
    }

    fn object(&self, request: ObjectRequest) -> Result<ObjectResponse, PlatformError> {
        match request {
            ObjectRequest::Get { name } => {
                let url = format!("{}/objects/{name}", self.base_url);
                let response = self.exchange(|agent| agent.get(&url).call())?;
                if response.status == 404 {
                    return Ok(ObjectResponse::Missing);
                }
                response.ensure_status(&[200])?;
                Ok(ObjectResponse::Content(response.body))
            }
            ObjectRequest::Put { name, content } => {
                let url = format!("{}/objects/{name}", self.base_url);
                let response = self.exchange(|agent| agent.put(&url).send(&content))?;
                response.ensure_status(&[200, 201, 204])?;
                Ok(ObjectResponse::Written)
            }
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// After a timeout all idle connections are discarded, because they may be broken by the same
    /// fault.
    fn exchange(
        &self,
        send: impl FnOnce(&Agent) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<HttpResponse, PlatformError> {
        let (agent, generation) = {
            let pool = self.pool();
            (pool.agent.clone(), pool.generation)
        };
        let error = match send(&agent).and_then(read_response) {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if matches!(error, ureq::Error::Timeout(_)) {
            self.replace_agent(generation);
        }
        Err(platform_error(&error))
    }

    fn replace_agent(&self, generation: u64) {
        let mut pool = self.pool();
        if pool.generation == generation {
            pool.agent = new_agent(self.timeout);
            pool.generation += 1;
        }
    }
}

fn read_response(mut response: Response<Body>) -> Result<HttpResponse, ureq::Error> {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(RESPONSE_BYTES_MAX)
        .read_to_string()?;
    Ok(HttpResponse { status, body })
}

impl HttpResponse {
    /// Fails unless the status is one of `accepted`: with [`PlatformError::NotApplied`] if it
    /// shows that the request was not carried out, else with [`PlatformError::Lost`].
    fn ensure_status(&self, accepted: &[u16]) -> Result<(), PlatformError> {
        if accepted.contains(&self.status) {
            return Ok(());
        }
        match self.status {
            503 | 400..=499 => Err(PlatformError::NotApplied),
            _ => Err(PlatformError::Lost),
        }
    }
}

/// Maps an error to whether the request was not sent or may have arrived.
fn platform_error(error: &ureq::Error) -> PlatformError {
    let is_sent = match error {
        ureq::Error::BadUri(_)
        | ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(ureq::Timeout::Resolve | ureq::Timeout::Connect) => false,
        ureq::Error::Io(error) => !matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        _ => true,
    };
    match is_sent {
        true => PlatformError::Lost,
        false => PlatformError::NotApplied,
    }
}

impl TableStore for PlatformClient {
    fn request(
        &self,
        request: TableRequest,
    ) -> BoxFuture<'_, Result<TableResponse, PlatformError>> {
        Box::pin(self.run(move |shared| shared.table(&request)))
    }
}

impl ObjectStore for PlatformClient {
    fn request(
        &self,
        request: ObjectRequest,
    ) -> BoxFuture<'_, Result<ObjectResponse, PlatformError>> {
        Box::pin(self.run(move |shared| shared.object(request)))
    }
}
