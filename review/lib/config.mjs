// A configuration as the operator writes it.
export const HOST = "studio.example";

export function buildConfig({ version = 1, routes, services, tenants, limits = {} } = {}) {
  return {
    version,
    routes: routes ?? [
      { name: "booking", host: HOST, prefix: "/booking/", route_kind: "non_idempotent", service: "app", timeout_ms: 600, target_latency_ms: 121, max_attempts: 1, priority: 2 },
      { name: "lookup", host: HOST, prefix: "/lookup/", route_kind: "idempotent", service: "app", timeout_ms: 600, target_latency_ms: 121, max_attempts: 2, priority: 2 },
    ],
    services: services ?? [{ name: "app", connection_limit: 110, health_check_path: "/health" }],
    tenants: tenants ?? [
      { name: "tenant-a", api_keys: ["key-a"] },
      { name: "tenant-b", api_keys: ["key-b"] },
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 2000, idle_timeout_ms: 5000, ...limits },
  };
}
