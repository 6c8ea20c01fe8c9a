// Package admin is the HTTP listener for operators: health, readiness,
// metrics, state dump, status, audit, and the application of configuration
// files.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"plantainfield.example/core/audit"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/fleet/runtime"
)

const (
	// MaxDocumentBytes bounds a configuration file.
	MaxDocumentBytes = 64 << 20
	queryTimeout     = 10 * time.Second
	// HeaderOperation carries the operation id of an apply, so that a repeated
	// one is recognized.
	HeaderOperation = "X-Operation-Id"
)

// Server serves operators.
type Server struct {
	loop     *runtime.Loop
	platform *platform.Client
	registry *prometheus.Registry
}

// New returns a server.
func New(loop *runtime.Loop, client *platform.Client, registry *prometheus.Registry) *Server {
	return &Server{loop: loop, platform: client, registry: registry}
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/dump", s.dump).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/audit", s.audit).Methods(http.MethodGet)
	r.HandleFunc("/v1/configuration", s.configuration).Methods(http.MethodGet)
	r.HandleFunc("/v1/apply", s.apply).Methods(http.MethodPost)
	r.Handle("/metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.NotFoundHandler = apierror.Handler(errkind.UnknownPath)
	r.MethodNotAllowedHandler = apierror.Handler(errkind.MethodNotAllowed)
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	d, err := s.loop.Dump(r.Context())
	if err != nil || !d.Ready {
		apierror.Write(w, apierror.BodyOf(errkind.NotReady, "", "", 0))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	d, err := s.loop.Dump(r.Context())
	if err != nil {
		return
	}
	writeJSON(w, http.StatusOK, d)
}

// ask posts an event under a new handle and returns the action that answers it.
func (s *Server) ask(r *http.Request, makeEvent func(handle uint64) event.Event) (event.Action, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	handle, ring := s.loop.Open()
	defer s.loop.Close(handle)
	s.loop.Post(makeEvent(handle))
	select {
	case a := <-ring:
		return a, true
	case <-ctx.Done():
		return event.Action{}, false
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	a, ok := s.ask(r, func(h uint64) event.Event {
		return event.Event{StatusRequested: &event.StatusRequested{Query: h}}
	})
	if !ok {
		apierror.Write(w, apierror.BodyOf(errkind.PlatformUnavailable, "", "", 0))
		return
	}
	writeJSON(w, http.StatusOK, a.AnswerStatus.Status)
}

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request) {
	ix := s.loop.Index()
	if ix == nil {
		apierror.Write(w, apierror.BodyOf(errkind.NotReady, "", "", 0))
		return
	}
	doc := *ix.Document
	doc.BasedOnGeneration = ix.Generation
	writeJSON(w, http.StatusOK, doc)
}

// ApplyAnswer is the answer to an apply.
type ApplyAnswer struct {
	// Generation is the accepted one, or the one in force if it was refused.
	Generation uint64          `json:"generation"`
	Accepted   bool            `json:"accepted"`
	Code       errkind.Kind    `json:"code,omitempty"`
	Problems   []event.Problem `json:"problems,omitempty"`
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxDocumentBytes))
	if err != nil {
		w.Header().Set("Connection", "close")
		apierror.WriteError(w, apierror.ReadError(err))
		return
	}
	op := r.Header.Get(HeaderOperation)
	if op == "" {
		op = uuid.NewString()
	}
	a, ok := s.ask(r, func(h uint64) event.Event {
		return event.Event{ApplyRequested: &event.ApplyRequested{Apply: h, OperationID: op, Document: body}}
	})
	if !ok {
		apierror.Write(w, apierror.BodyOf(errkind.ConfigOutcomeUnknown, "", "", 0))
		return
	}
	kind := a.AnswerApply.Kind
	answer := ApplyAnswer{Generation: a.AnswerApply.Generation, Accepted: kind == errkind.None, Code: kind, Problems: a.AnswerApply.Problems}
	status := http.StatusOK
	if !answer.Accepted {
		status = errkind.Lookup(kind).Status
	}
	writeJSON(w, status, answer)
}

// audit compares the ledger with the bills, as the platform holds them.
func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	ledgers, _, err1 := s.platform.List(r.Context(), event.KindLedger)
	bills, _, err2 := s.platform.List(r.Context(), event.KindBillSegment)
	if err1 != nil || err2 != nil {
		apierror.Write(w, apierror.BodyOf(errkind.PlatformUnavailable, "", "", 0))
		return
	}
	report, err := audit.Run(ledgers, bills)
	if err != nil {
		apierror.Write(w, apierror.BodyOf(errkind.Internal, err.Error(), "", 0))
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
