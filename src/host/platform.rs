//! The platform's table service and object store over HTTP.

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

/// The requests that are under way at once; further ones wait.
const REQUESTS_MAX: usize = 32;

/// The greatest answer that is read.
const ANSWER_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// The idle connections that are kept.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// A connection to the platform, for use on a tokio runtime.
#[derive(Clone)]
pub struct PlatformClient {
    shared: Arc<Shared>,
}

struct Shared {
    base_url: String,
    timeout: Duration,
    places: Semaphore,
    pool: Mutex<Pool>,
}

/// The agent that keeps idle connections.
struct Pool {
    agent: Agent,
    generation: u64,
}

/// A whole HTTP answer.
struct HttpAnswer {
    status: u16,
    body: String,
}

impl PlatformClient {
    /// Makes a connection to the platform at a base address, such as `http://127.0.0.1:8090`.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        let pool = Pool {
            agent: new_agent(timeout),
            generation: 0,
        };
        let shared = Shared {
            base_url: base_url.trim_end_matches('/').to_string(),
            timeout,
            places: Semaphore::new(REQUESTS_MAX),
            pool: Mutex::new(pool),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a blocking exchange on a thread for such, once there is a place.
    async fn run<T: Send + 'static>(
        &self,
        exchange: impl FnOnce(&Shared) -> Result<T, PlatformError> + Send + 'static,
    ) -> Result<T, PlatformError> {
        let waiting = self.shared.places.acquire();
        let Ok(Ok(_place)) = tokio::time::timeout(self.shared.timeout, waiting).await else {
            return Err(PlatformError::NotExecuted);
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
        let body = serde_json::to_string(request).map_err(|_| PlatformError::NotExecuted)?;
        let url = format!("{}/table", self.base_url);
        let answer = self.exchange(|agent| {
            agent
                .post(&url)
                .header("content-type", "application/json")
                .send(&body)
        })?;
        answer.ensure_done(&[200])?;
        serde_json::from_str(&answer.body).map_err(|_| PlatformError::Lost)
    }

    fn object(&self, request: ObjectRequest) -> Result<ObjectResponse, PlatformError> {
        match request {
            ObjectRequest::Get { name } => {
                let url = format!("{}/objects/{name}", self.base_url);
                let answer = self.exchange(|agent| agent.get(&url).call())?;
                if answer.status == 404 {
                    return Ok(ObjectResponse::Missing);
                }
                answer.ensure_done(&[200])?;
                Ok(ObjectResponse::Content(answer.body))
            }
            ObjectRequest::Put { name, content } => {
                let url = format!("{}/objects/{name}", self.base_url);
                let answer = self.exchange(|agent| agent.put(&url).send(&content))?;
                answer.ensure_done(&[200, 201, 204])?;
                Ok(ObjectResponse::Written)
            }
        }
    }

    /// Sends a request and reads the whole answer. After a timeout no idle connection is used
    /// again: what made this one silent may have made the others silent too.
    fn exchange(
        &self,
        send: impl FnOnce(&Agent) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<HttpAnswer, PlatformError> {
        let (agent, generation) = {
            let pool = self.pool();
            (pool.agent.clone(), pool.generation)
        };
        let error = match send(&agent).and_then(read_answer) {
            Ok(answer) => return Ok(answer),
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

fn read_answer(mut response: Response<Body>) -> Result<HttpAnswer, ureq::Error> {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_BYTES_MAX)
        .read_to_string()?;
    Ok(HttpAnswer { status, body })
}

impl HttpAnswer {
    /// Tells an answer of success from one that says that nothing was done.
    fn ensure_done(&self, done: &[u16]) -> Result<(), PlatformError> {
        if done.contains(&self.status) {
            return Ok(());
        }
        match self.status {
            503 | 400..=499 => Err(PlatformError::NotExecuted),
            _ => Err(PlatformError::Lost),
        }
    }
}

/// Tells a request that was not sent from one that may have arrived.
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
        false => PlatformError::NotExecuted,
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
