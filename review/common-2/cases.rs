//! The cases, and the deployment that they share.

mod late_refusal;
mod pieces;
mod stop_cut;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client;
use crate::machine::{Machine, MachineSettings, Network};
use crate::note;
use crate::store::Store;

/// How long the machines run before the traffic starts.
const LEAD: Duration = Duration::from_secs(8);

/// How long to wait for all sidecars to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Plays a case; returns whether its rule held.
pub fn run(case: &str, sidecar: &str, is_troubled: bool) -> Result<bool, String> {
    match case {
        "stop-cut" => stop_cut::run(sidecar, is_troubled),
        "pieces" => pieces::run(sidecar, is_troubled),
        "late-refusal" => late_refusal::run(sidecar, is_troubled),
        _ => Err(format!("unknown case {case}")),
    }
}

/// A route of the config.
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
    pub service: String,
}

impl Route {
    /// Creates a route whose prefix is its name, with at most two attempts for each request.
    pub fn new(name: &str, kind: &'static str, priority: u32, service: &str) -> Self {
        Self {
            name: name.into(),
            prefix: format!("/{name}/"),
            kind,
            priority,
            max_attempts: 2,
            service: service.into(),
        }
    }
}

/// A running deployment: the store and the machines, one for each service in their order.
pub struct Deployment {
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    _store: Arc<Store>,
}

impl Deployment {
    /// Starts the store and a machine for each service.
    pub fn start(sidecar: &str, services: &[&str], routes: &[Route]) -> Result<Self, String> {
        let network = Network::find()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start(network.store()).map_err(|error| error.to_string())?;
        store.put_config(&config_text(services, routes));
        let mut deployment = Self {
            machines: Vec::new(),
            folder,
            _store: store,
        };
        for (index, service) in services.iter().enumerate() {
            let settings = MachineSettings {
                number: 10 + index as u8,
                service,
                zone: if index % 2 == 0 { "z1" } else { "z2" },
                memory_mb: 260,
            };
            let machine = Machine::start(&network, &deployment.folder, sidecar, &settings)?;
            deployment.machines.push(machine);
        }
        Ok(deployment)
    }

    /// Waits until the traffic may start, and keeps asking each sidecar once a second whether it is
    /// ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let began = Instant::now();
        for machine in &self.machines {
            while !is_ready(machine) {
                if began.elapsed() > READY_TIMEOUT {
                    return Err(format!("{} is not ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            let asked = Arc::clone(machine);
            std::thread::spawn(move || {
                loop {
                    std::thread::sleep(Duration::from_secs(1));
                    is_ready(&asked);
                }
            });
        }
        std::thread::sleep(LEAD.saturating_sub(began.elapsed()));
        note("all sidecars are ready; the traffic starts");
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &self.machines {
            let peak_mb = machine.peak_kb.load(std::sync::atomic::Ordering::SeqCst) / 1_024;
            note(&format!("{}: used {peak_mb} MB at most", machine.name));
            machine.stop();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(machine: &Machine) -> bool {
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    client::exchange(machine.ready(), request, Duration::from_secs(1)) == Some(200)
}

fn config_text(services: &[&str], routes: &[Route]) -> String {
    let mut route_rows = Vec::new();
    for route in routes {
        route_rows.push(format!(
            r#"["{}","app.example","{}","{}",null,"1500ms",{},null,{},"{}"]"#,
            route.name, route.prefix, route.kind, route.priority, route.max_attempts, route.service
        ));
    }
    let mut service_rows = Vec::new();
    let mut named: Vec<&str> = services.to_vec();
    named.sort_unstable();
    named.dedup();
    for service in named {
        service_rows.push(format!(r#"["{service}","/health",724,"h1",false]"#));
    }
    format!(
        r#"{{"version":"r7","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","weighted_services","max_attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        route_rows.join(","),
        service_rows.join(",")
    )
}
