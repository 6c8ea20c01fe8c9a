// Package service is a stand-in for a plain service, a target that is not a
// model engine.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"plantainfield.example/fleet/engine"
	"plantainfield.example/standins/runlog"
)

// Options configures a Server.
type Options struct {
	// Name is the target's name in the run log and in responses.
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
	Log   *runlog.Log
}

// Server is the stand-in service.
type Server struct {
	options     Options
	lastBooking atomic.Int64
}

// New returns a Server with the given options.
func New(o Options) *Server { return &Server{options: o} }

// Handler returns the HTTP handler. POST /bookings is non-idempotent; every
// other request is a lookup.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", s.book).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.lookUp)
	return r
}

// BookingResponse is the response to POST /bookings.
type BookingResponse struct {
	Booking int64  `json:"booking"`
	Target  string `json:"target"`
	Nonce   string `json:"nonce,omitempty"`
}

// executeCall logs the call, waits for Options.Delay and returns the caller's
// nonce.
func (s *Server) executeCall(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	nonce := runlog.NonceOf(r.URL.RequestURI() + string(body))
	s.options.Log.Add(runlog.Entry{
		Event: "started", Target: s.options.Name, Attempt: r.Header.Get(engine.HeaderAttempt),
		Key: r.Header.Get("Idempotency-Key"), Call: r.Method + " " + r.URL.Path, Nonce: nonce,
	})
	time.Sleep(s.options.Delay)
	return nonce
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	nonce := s.executeCall(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(BookingResponse{s.lastBooking.Add(1), s.options.Name, nonce})
}

// LookupResponse is the response to any other request.
type LookupResponse struct {
	Path   string `json:"path"`
	Target string `json:"target"`
	Nonce  string `json:"nonce,omitempty"`
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	nonce := s.executeCall(r)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(LookupResponse{r.URL.Path, s.options.Name, nonce})
}
