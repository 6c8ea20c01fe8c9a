// Package service is a stand-in for a plain service beside the engines.
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

// Options configure a server.
type Options struct {
	// Name is the target's name in the log.
	Name string
	// Delay is how long a call takes.
	Delay time.Duration
	Log   *runlog.Log
}

// Server is the stand-in service.
type Server struct {
	options Options
	serial  atomic.Int64
}

// New returns a server.
func New(o Options) *Server { return &Server{options: o} }

// Handler returns the routes: POST /bookings runs an action that must not
// repeat, anything else is a look-up.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", s.book).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.lookUp)
	return r
}

// BookingResponse is the answer to a booking.
type BookingResponse struct {
	Booking int64  `json:"booking"`
	Target  string `json:"target"`
	Nonce   string `json:"nonce,omitempty"`
}

// run logs the call and takes its time; it returns the caller's nonce.
func (s *Server) run(r *http.Request) string {
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
	nonce := s.run(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(BookingResponse{s.serial.Add(1), s.options.Name, nonce})
}

// LookupResponse is the answer to any other call.
type LookupResponse struct {
	Path   string `json:"path"`
	Target string `json:"target"`
	Nonce  string `json:"nonce,omitempty"`
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	nonce := s.run(r)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(LookupResponse{r.URL.Path, s.options.Name, nonce})
}
