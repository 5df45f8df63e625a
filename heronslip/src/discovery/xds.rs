//! KServe v2 workers from a file: endpoints in Envoy's xDS JSON form.
use crate::messages::{ListedWorker, WorkerProtocol};
use heronslip_policy::json::{array, as_object, millis, object, string, unsigned};
use heronslip_policy::WorkerState;
use miniserde::json::{Object, Value};

/// Parses the workers in an xDS discovery response (or a single resource) of `ClusterLoadAssignment`s. Each
/// endpoint's `metadata.filter_metadata["heronslip"]` holds what this front end needs beyond xDS.
///
/// # Errors
/// Returns which required field is missing or invalid.
pub fn parse_endpoints(response: &Object) -> Result<Vec<ListedWorker>, String> {
    let single = [Value::Object(response.clone())];
    let resources = if response.contains_key("resources") { array(response, "resources") } else { &single };
    let mut workers = Vec::new();
    let empty = Object::new();
    for assignment in resources.iter().filter_map(as_object) {
        for locality in array(assignment, "endpoints").iter().filter_map(as_object) {
            let zone = object(locality, "locality").and_then(|l| string(l, "zone")).unwrap_or_default();
            for lb in array(locality, "lb_endpoints").iter().filter_map(as_object) {
                let socket = object(lb, "endpoint")
                    .and_then(|e| object(e, "address"))
                    .and_then(|a| object(a, "socket_address"))
                    .ok_or("an lb_endpoint without endpoint.address.socket_address")?;
                let host = string(socket, "address").ok_or("a socket_address without address")?;
                let port = unsigned(socket, "port_value").ok_or("a socket_address without port_value")?;
                let address = format!("{host}:{port}");
                let metadata = object(lb, "metadata").and_then(|m| object(m, "filter_metadata"));
                let metadata = metadata.and_then(|m| object(m, "heronslip")).unwrap_or(&empty);
                workers.push(ListedWorker {
                    id: string(metadata, "id").unwrap_or(&address).to_owned(),
                    address: address.parse().map_err(|_| format!("not an IP address and port: {address}"))?,
                    // As in Envoy, an endpoint of unknown health counts as healthy.
                    state: match string(lb, "health_status") {
                        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
                        Some("DRAINING") => WorkerState::Draining,
                        _ => WorkerState::Gone,
                    },
                    started_at: millis(metadata, "started_at_ms"),
                    zone: zone.to_owned(),
                    machine_type: string(metadata, "kind").unwrap_or_default().to_owned(),
                    cell: unsigned(metadata, "cell").unwrap_or(0),
                    protocol: WorkerProtocol::Kserve,
                });
            }
        }
    }
    Ok(workers)
}
