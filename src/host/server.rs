//! A small HTTP server for the endpoints that do not carry calls: target reports, readiness,
//! metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::table::BoxFuture;

/// The maximum size of a request body.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// The pause before the listener accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A handler of the requests to a server.
pub trait RequestHandler: Send + Sync {
    /// Handles a request and returns the response.
    fn handle<'a>(&'a self, head: &'a Parts, body: Bytes) -> BoxFuture<'a, Response<Full<Bytes>>>;
}

/// Accepts connections until the task is aborted.
pub async fn serve(listener: TcpListener, handler: Arc<dyn RequestHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn RequestHandler>) {
    let service = service_fn(move |request: Request<hyper::body::Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let (head, body) = request.into_parts();
            let response = match Limited::new(body, BODY_BYTES_MAX).collect().await {
                Ok(body) => handler.handle(&head, body.to_bytes()).await,
                Err(_) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(target: "dragonflylug", "incoming connection failed: {error}");
    }
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
