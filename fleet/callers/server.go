// Package callers is the HTTP listener that callers use: the OpenAI-compatible
// API, plain services and the look-up of instance addresses.
package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/settings"
)

const (
	headerKey    = "Idempotency-Key"
	headerBudget = "X-Budget"
	// headerNonIdempotent marks a model request that may run at most once.
	headerNonIdempotent = "X-Non-Idempotent"
	// headerDeadline is the longest wait for the first token, in milliseconds.
	headerDeadline    = "X-Deadline-Millis"
	maxDeadlineMillis = 3_600_000
	maxKeyLength      = 255
)

// Core is the decision loop as this package uses it; runtime.Loop is one.
type Core interface {
	// Index returns the configuration in force, or nil before there is one.
	Index() *config.Index
	// Open returns a new handle and the ring of its actions; Close forgets it.
	Open() (uint64, <-chan event.Action)
	Close(handle uint64)
	// Post queues an event.
	Post(e event.Event)
	// Ended is closed once events are answered no more.
	Ended() <-chan struct{}
}

// Server serves callers.
type Server struct {
	loop   Core
	engine *engine.Client
	limits settings.Limits
	log    *zap.Logger
	// peerKey is the secret that instances share.
	peerKey string
	// streams counts the requests being served.
	streams atomic.Int64
	metrics metrics
}

// New returns a server.
func New(loop Core, client *engine.Client, set *settings.Settings, log *zap.Logger) *Server {
	return &Server{loop: loop, engine: client, limits: set.Limits, peerKey: set.PeerKey, log: log, metrics: newMetrics()}
}

// Streams is the number of requests being served.
func (s *Server) Streams() int64 { return s.streams.Load() }

// silence is how long a target may send nothing.
func (s *Server) silence() time.Duration { return settings.Millis(s.limits.TargetSilenceMillis) }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.counted(s.chat)).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}").HandlerFunc(s.counted(s.service))
	r.NotFoundHandler = apierror.Handler(errkind.UnknownPath)
	r.MethodNotAllowedHandler = apierror.Handler(errkind.MethodNotAllowed)
	return s.bounded(r)
}

// bounded bounds the time to write an answer. Streams move the bound on.
func (s *Server) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(settings.Millis(s.limits.WriteTimeoutMillis)))
		next.ServeHTTP(w, r)
	})
}

// counted bounds the number of concurrent requests.
func (s *Server) counted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer s.streams.Add(-1)
		if s.streams.Add(1) > int64(s.limits.MaxStreams) {
			apierror.Write(w, apierror.BodyOf(errkind.TooManyStreams, "", "", 0))
			return
		}
		next(w, r)
	}
}

// caller is an authenticated caller under one configuration.
type caller struct {
	config.KeyOwner
	index *config.Index
}

// authenticate finds the customer that the bearer key names.
func (s *Server) authenticate(r *http.Request) (caller, error) {
	ix := s.loop.Index()
	if ix == nil {
		return caller{}, apierror.New(errkind.NotReady, "")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, apierror.New(errkind.Unauthenticated, "the Authorization header has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	owner, ok := ix.KeyOwner(hex.EncodeToString(sum[:]))
	if !ok {
		return caller{}, apierror.New(errkind.Unauthenticated, "")
	}
	if name := r.Header.Get(headerBudget); name != "" {
		b := ix.Budget(name)
		if b == nil || b.Customer != owner.Customer {
			return caller{}, apierror.New(errkind.UnknownBudget, "")
		}
		owner.Budget = name
	}
	return caller{owner, ix}, nil
}

// idempotencyKey returns the caller's key, or makes one.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(headerKey)
	if key == "" {
		return uuid.NewString(), nil
	}
	if len(key) > maxKeyLength {
		return "", apierror.New(errkind.InvalidRequest, "the idempotency key is too long")
	}
	return key, nil
}

// deadline reads how long the caller will wait; 0 where it states nothing.
func deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis < 1 || millis > maxDeadlineMillis {
		return 0, apierror.New(errkind.InvalidRequest, fmt.Sprintf("%s must be a whole number from 1 to %d", headerDeadline, maxDeadlineMillis))
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// addressesAnswer is the answer of /v1/addresses.
type addressesAnswer struct {
	// Addresses are IP:port, in the order in which to try them.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the answer may be kept.
	TTLSeconds int64 `json:"ttl_seconds"`
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	customer := ""
	if c, err := s.authenticate(r); err == nil {
		customer = c.Customer
	}
	handle, ring := s.loop.Open()
	defer s.loop.Close(handle)
	s.loop.Post(event.Event{AddressesRequested: &event.AddressesRequested{Query: handle, Customer: customer}})
	select {
	case a := <-ring:
		answer := addressesAnswer{Addresses: a.AnswerAddresses.Addresses, TTLSeconds: int64(a.AnswerAddresses.TTL.Seconds())}
		if len(answer.Addresses) == 0 {
			apierror.Write(w, apierror.BodyOf(errkind.NotReady, "no live instance is known", "", 0))
			return
		}
		writeJSON(w, http.StatusOK, answer)
	case <-s.loop.Ended():
		apierror.Write(w, apierror.BodyOf(errkind.Stopping, "", "", 0))
	case <-r.Context().Done():
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, err := s.authenticate(r)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range c.index.Document.Models {
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "plantainfield"})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func bodyHash(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(p)
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
