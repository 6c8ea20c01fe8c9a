// Package settings reads and validates the daemon's JSON settings file.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"plantainfield.example/core/config"
)

// Settings is the settings file of one instance.
type Settings struct {
	// Name is the instance's name in the platform's instance list.
	Name string `json:"name"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre string `json:"dataCentre"`
	// Platform configures the connection to the platform.
	Platform Platform `json:"platform"`
	// Callers, Peers and Admin are the listeners for callers, other instances
	// and operators.
	Callers Listener `json:"callers"`
	Peers   Listener `json:"peers"`
	Admin   Listener `json:"admin"`
	// PeerKey is the secret with which instances authenticate to each other.
	PeerKey string `json:"peerKey"`
	// LedgerShards is the number of ledger objects. It must be the same on all
	// instances and must never change during the lifetime of a deployment.
	LedgerShards int `json:"ledgerShards" min:"1" max:"100000"`
	// Limits bounds requests, responses and the graceful stop.
	Limits Limits `json:"limits"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel" enum:"debug,info,warn,error"`
}

// Platform configures the connection to the platform's API.
type Platform struct {
	// Address is IP:port.
	Address string `json:"address"`
	// TimeoutMillis is the time, in milliseconds, after which a call ends of which nothing
	// is sent or received any more.
	TimeoutMillis int `json:"timeoutMillis" min:"1" max:"60000"`
	// FleetCallsPerSecond is the maximum rate of calls by all instances
	// together, in calls per second. Each instance gets an equal share.
	FleetCallsPerSecond int `json:"fleetCallsPerSecond" min:"1" max:"100000"`
}

// Timeout returns the timeout of one call.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMillis) * time.Millisecond }

// Listener is an address to listen on.
type Listener struct {
	// Address is IP:port.
	Address string `json:"address"`
}

// Limits bounds requests, responses and the graceful stop.
type Limits struct {
	// MemoryBytes is the memory that the process may use, in bytes. A quarter of it is for
	// requests of callers, and each connection of a caller needs 96 KiB of it. On a
	// platform, its settings state the memory.
	MemoryBytes int64 `json:"memoryBytes" min:"67108864" max:"1099511627776"`
	// MaxSockets is the maximum number of sockets of the process. Half of them are for
	// connections of callers. On a platform, its settings state the descriptors.
	MaxSockets int `json:"maxSockets" min:"300" max:"1000000"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. A chat request of this
	// size, which is held several times, must fit into a quarter of the memory.
	MaxBodyBytes int `json:"maxBodyBytes" min:"1024" max:"67108864"`
	// MaxHeaderBytes is the maximum size of the request headers, in bytes.
	MaxHeaderBytes int `json:"maxHeaderBytes" min:"1024" max:"1048576"`
	// MaxStreams is the maximum number of concurrent requests.
	MaxStreams int `json:"maxStreams" min:"1" max:"100000"`
	// MaxWorkWaitMillis is how long work that is ready may wait for the processor in the
	// mean, in milliseconds. An instance on a platform whose work waits longer refuses
	// requests, and all of them at five times this wait.
	MaxWorkWaitMillis int `json:"maxWorkWaitMillis" min:"1" max:"60000"`
	// ReadTimeoutMillis is the maximum time to receive the headers of a request,
	// and again the maximum time to receive its body, in milliseconds.
	ReadTimeoutMillis int `json:"readTimeoutMillis" min:"10" max:"600000"`
	// WriteTimeoutMillis is the maximum time for which a caller may leave part
	// of its response unread, in milliseconds.
	WriteTimeoutMillis int `json:"writeTimeoutMillis" min:"10" max:"600000"`
	// IdleTimeoutMillis is the time after which an idle connection is closed,
	// in milliseconds.
	IdleTimeoutMillis int `json:"idleTimeoutMillis" min:"10" max:"3600000"`
	// TargetSilenceMillis is the maximum time for which a target may send
	// nothing, in milliseconds, both before its response and between two parts
	// of it. After that, the attempt is given up.
	TargetSilenceMillis int `json:"targetSilenceMillis" min:"10" max:"3600000"`
	// StopTimeoutMillis is the maximum duration of a graceful stop, in
	// milliseconds.
	StopTimeoutMillis int `json:"stopTimeoutMillis" min:"10" max:"3600000"`
}

// ChatCopies and ServiceCopies are how often the body of a request is held at most while
// it is read, changed and sent on.
const (
	ChatCopies    = 6
	ServiceCopies = 2
)

// requestMemoryShare is the part of the memory that callers' requests may use.
const requestMemoryShare = 4

// RequestBytes returns the memory that callers' requests may use, in bytes.
func (l Limits) RequestBytes() int64 { return l.MemoryBytes / requestMemoryShare }

// Millis returns a duration of n milliseconds.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults returns settings with the default values of all optional fields.
func Defaults() Settings {
	return Settings{
		Platform:     Platform{TimeoutMillis: 1000, FleetCallsPerSecond: 600},
		LedgerShards: 4,
		Limits: Limits{
			MemoryBytes: 512 << 20, MaxSockets: 16_384, MaxBodyBytes: 4 << 20, MaxHeaderBytes: 32 << 10, MaxStreams: 2000, MaxWorkWaitMillis: 30,
			ReadTimeoutMillis: 10_000, WriteTimeoutMillis: 20_000, IdleTimeoutMillis: 60_000, TargetSilenceMillis: 120_000, StopTimeoutMillis: 60_000,
		},
		LogLevel: "info",
	}
}

// Load reads a settings file and returns all problems found.
func Load(path string) (*Settings, []config.Problem) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, []config.Problem{{Path: "$", Message: err.Error()}}
	}
	return Parse(raw)
}

// Parse parses and validates settings and returns all problems found.
func Parse(raw []byte) (*Settings, []config.Problem) {
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, []config.Problem{{Path: "$", Message: "not valid JSON: " + err.Error()}}
	}
	if problems := config.CheckFields("$", tree, reflect.TypeFor[Settings]()); len(problems) > 0 {
		return nil, problems
	}
	s := Defaults()
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, []config.Problem{{Path: "$", Message: err.Error()}}
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

const minPeerKeyLength = 16

func (s *Settings) validate() []config.Problem {
	problems := config.CheckRanges("$", reflect.ValueOf(s).Elem())
	add := func(at, msg string) { problems = append(problems, config.Problem{Path: at, Message: msg}) }
	if s.Name == "" || strings.ContainsAny(s.Name, "/# \t\n") {
		add("$.name", "must not be empty and must not contain white space, / or #")
	}
	if s.DataCentre == "" {
		add("$.dataCentre", "must not be empty")
	}
	addresses := []struct{ at, value string }{
		{"$.platform.address", s.Platform.Address},
		{"$.callers.address", s.Callers.Address},
		{"$.peers.address", s.Peers.Address},
		{"$.admin.address", s.Admin.Address},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.at, "must be IP:port")
		}
	}
	if need := int64(s.Limits.MaxBodyBytes) * ChatCopies; need > s.Limits.RequestBytes() {
		add("$.limits.maxBodyBytes", fmt.Sprintf("needs memoryBytes of %d at least", need*requestMemoryShare))
	}
	if len(s.PeerKey) < minPeerKeyLength {
		add("$.peerKey", fmt.Sprintf("must have at least %d characters", minPeerKeyLength))
	}
	return problems
}
