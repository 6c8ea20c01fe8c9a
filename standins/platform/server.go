package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"plantainfield.example/core/event"
	wire "plantainfield.example/fleet/platform"
)

const maxValueBytes = 1 << 20

// Options configures a Server.
type Options struct {
	// InstanceLag is the delay until changes to the instance list are visible.
	InstanceLag time.Duration
	// WritesPerSecond and ReadsPerSecond are the maximum request rates. A watch
	// counts as one read, however long it stays open.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Faults are the faults that the server injects.
type Faults struct {
	// Down makes the server close every connection without a response.
	Down bool `json:"down"`
	// DelayMillis delays the handling of each request, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// DropAnswers is the number of following writes that are executed but get
	// no response.
	DropAnswers int64 `json:"dropAnswers"`
}

// Stats holds the numbers of requests so far. Reads includes Watches; Reads and
// Writes include Rejected, which counts requests above the rate limits.
type Stats struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Rejected int64 `json:"rejected"`
}

// Server is the stand-in platform.
type Server struct {
	store         *store
	options       Options
	faults        atomic.Pointer[Faults]
	answersToDrop atomic.Int64
	// faultsChanged is closed and replaced when the faults change, which ends
	// all open watches.
	faultsChanged                    atomic.Pointer[chan struct{}]
	reads, writes, watches, rejected atomic.Int64
	readLimit, writeLimit            *rate.Limiter
}

// New returns a server without objects.
func New(o Options) *Server {
	s := &Server{
		store: newStore(), options: o,
		readLimit:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		writeLimit: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
	}
	s.SetFaults(Faults{})
	return s
}

// SetFaults replaces the current faults and ends all open watches.
func (s *Server) SetFaults(f Faults) {
	s.faults.Store(&f)
	s.answersToDrop.Store(f.DropAnswers)
	replacement := make(chan struct{})
	if old := s.faultsChanged.Swap(&replacement); old != nil {
		close(*old)
	}
}

// Handler returns the HTTP handler. Paths below /control set faults, go back to an
// older copy of the objects and return statistics; neither faults nor rate limits apply to them.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/faults", s.handleSetFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/back", s.handleGoBack).Methods(http.MethodPost)
	r.HandleFunc("/control/stats", s.handleStats).Methods(http.MethodGet)
	api := r.PathPrefix("/apis/" + wire.APIVersion).Subrouter()
	api.HandleFunc("/{plural}", s.withLimitsAndFaults(s.listOrWatch)).Methods(http.MethodGet)
	api.HandleFunc("/{plural}", s.withLimitsAndFaults(s.create)).Methods(http.MethodPost)
	api.HandleFunc("/{plural}/{name}", s.withLimitsAndFaults(s.get)).Methods(http.MethodGet)
	api.HandleFunc("/{plural}/{name}", s.withLimitsAndFaults(s.update)).Methods(http.MethodPut)
	api.HandleFunc("/{plural}/{name}", s.withLimitsAndFaults(s.remove)).Methods(http.MethodDelete)
	return r
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(Stats{s.reads.Load(), s.writes.Load(), s.watches.Load(), s.rejected.Load()})
}

// withLimitsAndFaults counts a request and applies the rate limits and faults to
// it.
func (s *Server) withLimitsAndFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Load()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		limit, count := s.readLimit, &s.reads
		isWrite := r.Method != http.MethodGet
		if isWrite {
			limit, count = s.writeLimit, &s.writes
		}
		count.Add(1)
		if !limit.Allow() {
			s.rejected.Add(1)
			http.Error(w, "too many requests", http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if isWrite && s.answersToDrop.Add(-1) >= 0 {
			next(discardResponse{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	res, ok := s.store.get(v["plural"], v["name"])
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, res)
}

// readResource reads the resource in the body of a write, of at most
// maxValueBytes. On failure it sends the error response and returns false.
func readResource(w http.ResponseWriter, r *http.Request) (wire.Resource, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return wire.Resource{}, false
	}
	res, err := decodeResource(raw)
	if err != nil || res.Metadata.Name == "" {
		http.Error(w, "malformed resource", http.StatusBadRequest)
		return wire.Resource{}, false
	}
	return res, true
}

// visibilityLag returns the delay until changes to a collection are visible.
// A write to a collection with a delay gets a success response at once; a
// conflict when it is applied later is ignored.
func (s *Server) visibilityLag(plural string) time.Duration {
	if plural == wire.Plural(event.KindInstance) {
		return s.options.InstanceLag
	}
	return 0
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	plural := mux.Vars(r)["plural"]
	res, ok := readResource(w, r)
	if !ok {
		return
	}
	if lag := s.visibilityLag(plural); lag > 0 {
		runAfter(lag, func() { s.store.create(plural, res) })
		writeJSON(w, res)
		return
	}
	respondWrite(w, func() (wire.Resource, writeResult) { return s.store.create(plural, res) })
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	plural := mux.Vars(r)["plural"]
	res, ok := readResource(w, r)
	if !ok {
		return
	}
	if lag := s.visibilityLag(plural); lag > 0 {
		runAfter(lag, func() { s.store.update(plural, res) })
		writeJSON(w, res)
		return
	}
	respondWrite(w, func() (wire.Resource, writeResult) { return s.store.update(plural, res) })
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	if lag := s.visibilityLag(v["plural"]); lag > 0 {
		runAfter(lag, func() { s.store.remove(v["plural"], v["name"]) })
		return
	}
	respondWrite(w, func() (wire.Resource, writeResult) {
		return wire.Resource{}, s.store.remove(v["plural"], v["name"])
	})
}

func respondWrite(w http.ResponseWriter, write func() (wire.Resource, writeResult)) {
	res, result := write()
	switch result {
	case conflict:
		http.Error(w, "conflict", http.StatusConflict)
	case notFound:
		http.Error(w, "not found", http.StatusNotFound)
	default:
		writeJSON(w, res)
	}
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	plural := mux.Vars(r)["plural"]
	if r.URL.Query().Get("watch") != "true" {
		writeJSON(w, s.store.list(plural))
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, "malformed resourceVersion", http.StatusBadRequest)
		return
	}
	s.watches.Add(1)
	s.watch(w, r, plural, after)
}

// watch streams changes until the client disconnects or the faults change. If the
// history no longer reaches back to the revision after, it sends an ERROR event
// and ends.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, plural string, after uint64) {
	faultsChanged := *s.faultsChanged.Load()
	enc := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	for {
		events, reached, more, ok := s.store.since(plural, after)
		if !ok {
			_ = enc.Encode(wire.WatchEvent{Type: "ERROR"})
			return
		}
		for _, e := range events {
			_ = enc.Encode(e)
		}
		_ = http.NewResponseController(w).Flush()
		after = reached
		select {
		case <-more:
		case <-faultsChanged:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
