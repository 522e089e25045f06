// Package telemetry serves a process to its operators over HTTP: metrics as
// JSON at /metrics, liveness at /healthz, readiness at /readyz for the
// platform's balancer, and the AdminService for medlarctl.
package telemetry
