package main

// config is the operator's configuration.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	Kind            string   `json:"kind"`
	TimeoutMs       float64  `json:"timeout_ms"`
	TargetLatencyMs float64  `json:"target_latency_ms"`
	Attempts        int      `json:"attempts"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	TopK            int      `json:"top_k,omitempty"`
	MinCoverage     float64  `json:"min_coverage,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

const (
	host         = "cucharero.example"
	rosterPrefix = "/maestros/"
	rosterName   = "maestros"
)

// rosterConfig is a configuration with one route to one service, as the instructor roster
// has it.
func rosterConfig() config {
	return config{
		Version: 1,
		Routes: []route{{
			Name: "roster", Host: host, PathPrefix: rosterPrefix, Kind: "idempotent", TimeoutMs: 4000, TargetLatencyMs: 400,
			Attempts: 2, Priority: 2, Service: rosterName,
		}},
		Services: []service{{Name: rosterName, HealthPath: "/healthz", MaxConns: 110, WarmupS: 3}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}
