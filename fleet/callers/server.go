// Package callers implements the HTTP API for callers: the OpenAI-compatible
// API, plain services and the lookup of instance addresses.
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
	"plantainfield.example/core/outdated"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/settings"
)

const (
	headerKey    = "Idempotency-Key"
	headerBudget = "X-Budget"
	// headerNonIdempotent marks a model request that may run at most once.
	headerNonIdempotent = "X-Non-Idempotent"
	// headerDeadline carries the maximum wait for the first token, in
	// milliseconds.
	headerDeadline    = "X-Deadline-Millis"
	maxDeadlineMillis = 3_600_000
	maxKeyBytes       = 255
)

// Core is the subset of the decision loop that this package uses. It is
// implemented by runtime.Loop.
type Core interface {
	// Index returns the configuration in force, or nil if there is none yet.
	Index() *config.Index
	// Standing returns what is known of newer configurations.
	Standing() event.ConfigStanding
	// Open returns a new handle and the channel of its actions. Close releases
	// the handle.
	Open() (uint64, <-chan event.Action)
	Close(handle uint64)
	// Post queues an event.
	Post(e event.Event)
	// Ended is closed once the loop no longer processes events.
	Ended() <-chan struct{}
}

// Server serves the HTTP API for callers.
type Server struct {
	loop   Core
	engine *engine.Client
	limits settings.Limits
	log    *zap.Logger
	// peerKey is the secret shared by all instances.
	peerKey string
	// activeRequests is the number of requests in progress.
	activeRequests atomic.Int64
	metrics        metrics
}

// New returns a Server.
func New(loop Core, client *engine.Client, set *settings.Settings, log *zap.Logger) *Server {
	return &Server{loop: loop, engine: client, limits: set.Limits, peerKey: set.PeerKey, log: log, metrics: newMetrics()}
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// targetIdleTimeout returns how long a target may send nothing.
func (s *Server) targetIdleTimeout() time.Duration {
	return settings.Millis(s.limits.TargetSilenceMillis)
}

// Handler returns the HTTP handler for all routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.limitConcurrency(s.chat)).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}").HandlerFunc(s.limitConcurrency(s.service))
	r.NotFoundHandler = apierror.Handler(errkind.UnknownPath)
	r.MethodNotAllowedHandler = apierror.Handler(errkind.MethodNotAllowed)
	return s.withWriteDeadline(r)
}

// withWriteDeadline sets a deadline for writing the response. Streams extend it
// as they progress.
func (s *Server) withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(settings.Millis(s.limits.WriteTimeoutMillis)))
		next.ServeHTTP(w, r)
	})
}

// limitConcurrency rejects requests beyond the maximum number of concurrent
// requests.
func (s *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer s.activeRequests.Add(-1)
		if s.activeRequests.Add(1) > int64(s.limits.MaxStreams) {
			apierror.Write(w, apierror.BodyOf(errkind.TooManyStreams, "", "", 0))
			return
		}
		defer clientconn.ReleaseRequest(r)
		next(w, r)
	}
}

// caller is an authenticated caller, together with the configuration that was
// in force at authentication.
type caller struct {
	config.KeyOwner
	index *config.Index
}

// authenticate returns the customer that owns the bearer key.
func (s *Server) authenticate(r *http.Request) (caller, error) {
	ix := s.loop.Index()
	if ix == nil {
		return caller{}, apierror.New(errkind.NotReady, "")
	}
	if s.loop.Standing().Overdue {
		return caller{}, apierror.New(errkind.Outdated, "")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, apierror.New(errkind.Unauthenticated, "the Authorization header has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	owner, ok := ix.KeyOwner(hex.EncodeToString(sum[:]))
	if !ok {
		return caller{}, apierror.New(s.denial(errkind.Unauthenticated), "")
	}
	if name := r.Header.Get(headerBudget); name != "" {
		b := ix.Budget(name)
		if b == nil || b.Customer != owner.Customer {
			return caller{}, apierror.New(s.denial(errkind.UnknownBudget), "")
		}
		owner.Budget = name
	}
	return caller{owner, ix}, nil
}

// denial returns the error kind with which to refuse a request for what the
// configuration in force doesn't have.
func (s *Server) denial(kind errkind.Kind) errkind.Kind {
	return outdated.Denial(kind, s.loop.Standing())
}

// idempotencyKey returns the caller's idempotency key, or a new random one.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(headerKey)
	if key == "" {
		return uuid.NewString(), nil
	}
	if len(key) > maxKeyBytes {
		return "", apierror.New(errkind.InvalidRequest, "the idempotency key is too long")
	}
	return key, nil
}

// deadline returns the maximum wait that the caller requests, or 0 if it sets
// none.
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

// addressesResponse is the response body of /v1/addresses.
type addressesResponse struct {
	// Addresses are IP:port, in the order in which to try them.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the response may be cached.
	TTLSeconds int64 `json:"ttl_seconds"`
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	customer := ""
	if c, err := s.authenticate(r); err == nil {
		customer = c.Customer
	}
	handle, actions := s.loop.Open()
	defer s.loop.Close(handle)
	s.loop.Post(event.Event{AddressesRequested: &event.AddressesRequested{Query: handle, Customer: customer}})
	select {
	case a := <-actions:
		response := addressesResponse{Addresses: a.AnswerAddresses.Addresses, TTLSeconds: int64(a.AnswerAddresses.TTL.Seconds())}
		if len(response.Addresses) == 0 {
			apierror.Write(w, apierror.BodyOf(errkind.NotReady, "no live instance is known", "", 0))
			return
		}
		writeJSON(w, http.StatusOK, response)
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
