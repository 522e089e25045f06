// Package telemetry serves a process to its operators over HTTP: metrics as
// JSON at /metrics, liveness at /healthz, readiness at /readyz for the
// platform's balancer, profiles at /debug/pprof, and the AdminService for
// medlarctl.
package telemetry
