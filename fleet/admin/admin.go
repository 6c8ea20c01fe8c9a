// Package admin implements the operators' HTTP API: health, readiness, metrics,
// state dump, status, audit, and applying configuration files.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/fleet/runtime"
)

const (
	// MaxDocumentBytes is the maximum size of a configuration file.
	MaxDocumentBytes = 64 << 20
	queryTimeout     = 10 * time.Second
	// HeaderOperationID carries the operation ID of an apply request, so that a
	// repeated request is recognized.
	HeaderOperationID = "X-Operation-Id"
)

// Server serves the operators' HTTP API.
type Server struct {
	loop     *runtime.Loop
	platform *platform.Client
	registry *prometheus.Registry
	// clients returns what the callers' connections use.
	clients func() clientconn.Usage
}

// New returns a Server. clients returns what the callers' connections use.
func New(loop *runtime.Loop, client *platform.Client, registry *prometheus.Registry, clients func() clientconn.Usage) *Server {
	return &Server{loop: loop, platform: client, registry: registry, clients: clients}
}

// Handler returns the HTTP handler for all routes.
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
	writeJSON(w, http.StatusOK, Dump{d, s.clients()})
}

// Dump is the state dump of an instance.
type Dump struct {
	node.Dump
	// Clients is what the callers' connections use.
	Clients clientconn.Usage `json:"clients"`
}

// query posts the event that makeEvent builds for a new handle and returns the
// action that answers it. It returns false if no action arrives within
// queryTimeout.
func (s *Server) query(r *http.Request, makeEvent func(handle uint64) event.Event) (event.Action, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	handle, actions := s.loop.Open()
	defer s.loop.Close(handle)
	s.loop.Post(makeEvent(handle))
	select {
	case a := <-actions:
		return a, true
	case <-ctx.Done():
		return event.Action{}, false
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	a, ok := s.query(r, func(h uint64) event.Event {
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

// ApplyResponse is the JSON response to an apply request.
type ApplyResponse struct {
	// Generation is the new generation if the document was accepted, otherwise
	// the generation in force.
	Generation uint64          `json:"generation"`
	Accepted   bool            `json:"accepted"`
	Code       errkind.Kind    `json:"code,omitempty"`
	Problems   []event.Problem `json:"problems,omitempty"`
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	body, err := readDocument(w, r)
	if err != nil {
		w.Header().Set("Connection", "close")
		apierror.WriteError(w, err)
		return
	}
	defer clientconn.ReleaseRequest(r)
	op := r.Header.Get(HeaderOperationID)
	if op == "" {
		op = uuid.NewString()
	}
	a, ok := s.query(r, func(h uint64) event.Event {
		return event.Event{ApplyRequested: &event.ApplyRequested{Apply: h, OperationID: op, Document: body}}
	})
	if !ok {
		apierror.Write(w, apierror.BodyOf(errkind.ConfigOutcomeUnknown, "", "", 0))
		return
	}
	kind := a.AnswerApply.Kind
	response := ApplyResponse{Generation: a.AnswerApply.Generation, Accepted: kind == errkind.None, Code: kind, Problems: a.AnswerApply.Problems}
	status := http.StatusOK
	if !response.Accepted {
		status = errkind.Lookup(kind).Status
	}
	writeJSON(w, status, response)
}

// documentCopies is how often a configuration file is held at most while it is read.
const documentCopies = 2

// readDocument reads a configuration file within the limits on size and memory.
func readDocument(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	conn, err := clientconn.OfRequest(r)
	if err != nil {
		return nil, err
	}
	document, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, MaxDocumentBytes), r.ContentLength, documentCopies)
	if errors.Is(err, clientconn.ErrNoMemory) {
		return nil, apierror.New(errkind.MemoryExhausted, "")
	}
	if err != nil {
		return nil, apierror.ReadError(err)
	}
	return bytes.Join(document, nil), nil
}

// audit compares the ledger with the bills that are stored on the platform.
func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	ledgers, _, ledgerErr := s.platform.List(r.Context(), event.KindLedger)
	bills, _, billErr := s.platform.List(r.Context(), event.KindBillSegment)
	if ledgerErr != nil || billErr != nil {
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
