package main

// The configuration that the operator writes, as the platform's pages have it.

type operatorConfig struct {
	Version  int64     `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name         string `json:"name"`
	Hostname     string `json:"hostname"`
	PathPrefix   string `json:"path_prefix"`
	Kind         string `json:"route_kind"`
	TimeoutMS    int    `json:"timeout_ms"`
	LatencyMS    int    `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	Service      string `json:"service"`
	MaxAttempts  int    `json:"max_attempts"`
	Anonymous    bool   `json:"anonymous"`
	Affinity     bool   `json:"session_affinity"`
	Resumable    bool   `json:"stream_resumption"`
	PauseLimitMS int    `json:"target_itl_ms,omitempty"`
}

type service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	ConnectionLimit int     `json:"connection_limit"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls_enabled"`
	Engine          *engine `json:"inference_engine,omitempty"`
}

type engine struct {
	Slots    int `json:"concurrency_slots"`
	Capacity int `json:"kv_cache_capacity"`
	StepSize int `json:"step_size"`
}

type limits struct {
	HeaderBytes     int `json:"max_header_bytes"`
	BodyBytes       int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Quota    int64    `json:"prepaid_quota"`
}

const (
	host       = "orders.example"
	apiKey     = "k1k1k1k1k1k1k1k1k1k1"
	tenantName = "tenant-a"
	orders     = "orders-service"
	chat       = "chat-service"
)

// baseConfig is a small configuration: a route of each kind, and one tenant.
func baseConfig() operatorConfig {
	return operatorConfig{
		Version: 5,
		Routes: []route{
			{Name: "r-order", Hostname: host, PathPrefix: "/order/", Kind: "non_idempotent", TimeoutMS: 4000, LatencyMS: 300, Priority: 2, Service: orders, MaxAttempts: 1},
			{Name: "r-stock", Hostname: host, PathPrefix: "/stock/", Kind: "idempotent", TimeoutMS: 4000, LatencyMS: 300, Priority: 2, Service: orders, MaxAttempts: 2},
			{Name: "r-chat", Hostname: host, PathPrefix: "/chat/", Kind: "streaming", TimeoutMS: 15000, LatencyMS: 400, Service: chat, MaxAttempts: 2, Affinity: true, Resumable: true, PauseLimitMS: 300},
		},
		Services: []service{
			{Name: orders, HealthCheckPath: "/health", ConnectionLimit: 110, Protocol: "h1"},
			{Name: chat, HealthCheckPath: "/health", ConnectionLimit: 310, Protocol: "h1", Engine: &engine{Slots: 48, Capacity: 463195, StepSize: 6}},
		},
		Limits:  limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: tenantName, Keys: []string{apiKey}, Priority: 1, Quota: 6_000_000}},
	}
}
