//! The HTTP side of a target.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinSet;

use super::WORK_US_HEADER;
use super::config::{Behaviour, Health, TargetMode};
use super::state::State;
use super::work::{Work, Worked};

type Reply = Response<Either<Full<Bytes>, CutBody>>;

/// A body that ends with an error before its announced length.
struct CutBody {
    part: Option<Bytes>,
    whole_bytes: u64,
}

/// The cause of a connection that closes in the middle of an answer.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("cut")
    }
}

impl std::error::Error for Cut {}

impl Body for CutBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.part.take() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => Poll::Ready(Some(Err(Cut))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.whole_bytes)
    }
}

/// Accepts connections until the task is ended, and ends them with it.
pub(super) async fn serve(listener: TcpListener, state: Arc<State>) {
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
                state.refuse_connection();
                continue;
            }
        };
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<State>, _permit: OwnedSemaphorePermit) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { answer(request, &state).await }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(request: Request<Incoming>, state: &Arc<State>) -> Result<Reply, hyper::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let path = head.uri.path();
    if path.starts_with("/_") {
        return Ok(steer(&head.method, path, &body, state));
    }
    let path = head.uri.path_and_query().map_or(path, |path| path.as_str());
    let work = Work {
        method: head.method.to_string(),
        path: path.to_string(),
        headers: head.headers,
        body,
    };
    Ok(match work.run(state).await {
        Worked::Answer { body, work_us } => worked(StatusCode::OK, body, work_us),
        Worked::Failed { status, work_us } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            worked(status, Bytes::new(), work_us)
        }
        Worked::Refused => problem(StatusCode::SERVICE_UNAVAILABLE, "no slot is free"),
        Worked::Cut(body) => cut(&body),
    })
}

fn steer(method: &Method, path: &str, body: &Bytes, state: &State) -> Reply {
    match (method, path) {
        (&Method::GET, "/_log") => json(&state.log()),
        (&Method::GET, "/_faults") => json(&state.behaviour()),
        (&Method::POST, "/_faults") => change_behaviour(body, state),
        (&Method::POST, "/_drain") => {
            state.drain();
            json(&serde_json::json!({ "is_draining": true }))
        }
        (&Method::GET, "/_health") => health(&state.behaviour()),
        _ => problem(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Puts the fields of a JSON object over the present behaviour.
fn change_behaviour(body: &Bytes, state: &State) -> Reply {
    match merge(&state.behaviour(), body) {
        Ok(behaviour) => {
            state.set_behaviour(behaviour.clone());
            json(&behaviour)
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn merge(present: &Behaviour, body: &Bytes) -> Result<Behaviour, serde_json::Error> {
    let mut merged = serde_json::to_value(present)?;
    let given: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    for (field, value) in given {
        merged[field] = value;
    }
    serde_json::from_value(merged)
}

fn health(behaviour: &Behaviour) -> Reply {
    let is_ok = match behaviour.health {
        Health::Honest => behaviour.mode == TargetMode::Normal,
        Health::AlwaysOk => true,
        Health::AlwaysFailing => false,
    };
    match is_ok {
        true => json(&serde_json::json!({ "status": "ok" })),
        false => problem(StatusCode::SERVICE_UNAVAILABLE, "failing"),
    }
}

fn worked(status: StatusCode, body: Bytes, work_us: u64) -> Reply {
    let mut reply = whole(status, body);
    let value = HeaderValue::from(work_us);
    reply.headers_mut().insert(WORK_US_HEADER, value);
    reply
}

fn cut(body: &Bytes) -> Reply {
    let cut = CutBody {
        part: Some(body.slice(..body.len() / 2)),
        whole_bytes: body.len() as u64 + 1,
    };
    Response::new(Either::Right(cut))
}

fn json<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => whole(StatusCode::OK, body.into()),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn problem(status: StatusCode, message: &str) -> Reply {
    let body = serde_json::json!({ "error": message }).to_string();
    whole(status, body.into())
}

fn whole(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    reply
}
