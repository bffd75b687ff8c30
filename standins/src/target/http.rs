//! The HTTP server of the target stand-in.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinSet;

use super::config::{Behaviour, Health, TargetMode};
use super::execution::{IncomingRequest, REQUEST_HEADER, RunOutcome};
use super::state::State;
use super::{LEAVING_HEADER, RATE_LIMIT_HEADER, WORK_US_HEADER};

type HttpResponse = Response<Either<Full<Bytes>, TruncatedBody>>;

/// A body that fails before its announced length is reached, so that hyper closes the connection.
struct TruncatedBody {
    part: Option<Bytes>,
    announced_bytes: u64,
}

/// The error of a body that is truncated on purpose.
#[derive(Debug)]
struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("truncated on purpose")
    }
}

impl std::error::Error for Truncated {}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.part.take() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => Poll::Ready(Some(Err(Truncated))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced_bytes)
    }
}

/// How long a process that ended is down, and the pause before another attempt if the address cannot
/// be bound then.
const DOWN: Duration = Duration::from_millis(700);

/// Accepts connections until the task is aborted, which also ends the open connections. A request may
/// end the process, which starts again at the same address.
pub(super) async fn serve(mut listener: TcpListener, address: SocketAddr, state: Arc<State>) {
    loop {
        tokio::select! {
            () = accept_all(listener, &state) => {}
            () = state.crashed.notified() => {}
        }
        state.end_process();
        listener = loop {
            tokio::time::sleep(DOWN).await;
            if let Ok(listener) = TcpListener::bind(address).await {
                break listener;
            }
        };
        state.start_process();
    }
}

/// Accepts connections until the future is dropped, which also closes the open connections.
async fn accept_all(listener: TcpListener, state: &Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        match Arc::clone(&state.connections).try_acquire_owned() {
            Ok(permit) => connections.spawn(serve_connection(stream, state.clone(), permit)),
            Err(_) => {
                state.record_refused_connection();
                continue;
            }
        };
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<State>, _permit: OwnedSemaphorePermit) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { handle_request(request, &state).await }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    request: Request<Incoming>,
    state: &Arc<State>,
) -> Result<HttpResponse, hyper::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let path = head.uri.path();
    if path.starts_with("/_") {
        return Ok(handle_control(&head.method, path, &body, state));
    }
    let path = head.uri.path_and_query().map_or(path, |path| path.as_str());
    let request = IncomingRequest {
        method: head.method.to_string(),
        path: path.to_string(),
        headers: head.headers,
        body,
    };
    let mut response = run(&request, state).await;
    if let Some(id) = request.headers.get(REQUEST_HEADER) {
        response.headers_mut().insert(REQUEST_HEADER, id.clone());
    }
    add_signals(state, response.headers_mut());
    Ok(response)
}

async fn run(request: &IncomingRequest, state: &Arc<State>) -> HttpResponse {
    match request.run(state).await {
        RunOutcome::Answer {
            body,
            total_work_us,
        } => response_with_work(StatusCode::OK, body, total_work_us),
        RunOutcome::Failed {
            status,
            total_work_us,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            response_with_work(status, Bytes::new(), total_work_us)
        }
        RunOutcome::Refused => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "all slots and the backlog are full",
        ),
        RunOutcome::Truncated(body) => truncated_response(&body),
    }
}

/// Adds the headers in which the target says something of itself at present.
fn add_signals(state: &State, headers: &mut HeaderMap) {
    if let Some(per_s) = state.behaviour().rate_limit_per_s
        && let Ok(value) = HeaderValue::from_str(&per_s.to_string())
    {
        headers.insert(RATE_LIMIT_HEADER, value);
    }
    if state.is_draining() {
        headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    }
}

/// Handles a request to one of the paths that control the target.
fn handle_control(method: &Method, path: &str, body: &Bytes, state: &State) -> HttpResponse {
    match (method, path) {
        (&Method::GET, "/_log") => json_response(&state.log()),
        (&Method::GET, "/_faults") => json_response(&state.behaviour()),
        (&Method::POST, "/_faults") => change_behaviour(body, state),
        (&Method::POST, "/_drain") => {
            state.drain();
            json_response(&serde_json::json!({ "is_draining": true }))
        }
        (&Method::GET, "/_health") => health_response(&state.behaviour()),
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Sets the fields of the current behaviour that the JSON object in the body contains; the others
/// keep their values.
fn change_behaviour(body: &Bytes, state: &State) -> HttpResponse {
    match merge(&state.behaviour(), body) {
        Ok(behaviour) => {
            state.set_behaviour(behaviour.clone());
            json_response(&behaviour)
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn merge(current: &Behaviour, body: &Bytes) -> Result<Behaviour, serde_json::Error> {
    let mut merged = serde_json::to_value(current)?;
    let given: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    for (field, value) in given {
        merged[field] = value;
    }
    serde_json::from_value(merged)
}

fn health_response(behaviour: &Behaviour) -> HttpResponse {
    let is_ok = match behaviour.health {
        Health::Honest => behaviour.mode == TargetMode::Normal,
        Health::AlwaysOk => true,
        Health::AlwaysFailing => false,
    };
    match is_ok {
        true => json_response(&serde_json::json!({ "status": "ok" })),
        false => error_response(StatusCode::SERVICE_UNAVAILABLE, "failing"),
    }
}

fn response_with_work(status: StatusCode, body: Bytes, total_work_us: u64) -> HttpResponse {
    let mut response = full_response(status, body);
    let value = HeaderValue::from(total_work_us);
    response.headers_mut().insert(WORK_US_HEADER, value);
    response
}

fn truncated_response(body: &Bytes) -> HttpResponse {
    let truncated = TruncatedBody {
        part: Some(body.slice(..body.len() / 2)),
        announced_bytes: body.len() as u64 + 1,
    };
    Response::new(Either::Right(truncated))
}

fn json_response<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => full_response(StatusCode::OK, body.into()),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    let body = serde_json::json!({ "error": message }).to_string();
    full_response(status, body.into())
}

fn full_response(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}
