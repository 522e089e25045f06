// Package telemetry implements the HTTP endpoint of a process for operators. It
// serves metrics as JSON at /metrics, liveness at /healthz, readiness for the
// platform's load balancer at /readyz, profiles at /debug/pprof, and the
// AdminService for medlarctl.
package telemetry
