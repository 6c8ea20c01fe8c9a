package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	wire "plantainfield.example/fleet/platform"
)

// The second face of the stand-in: the same objects under /objects/KIND/NAME,
// in the format of the users' platform.

// hostedObject is an object in that format.
type hostedObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"specification"`
}

func toHosted(r wire.Resource) hostedObject {
	o := hostedObject{Spec: r.Spec}
	o.Metadata.Name = r.Metadata.Name
	o.Metadata.Revision, _ = strconv.ParseInt(r.Metadata.ResourceVersion, 10, 64)
	return o
}

func fromHosted(o hostedObject) wire.Resource {
	r := wire.Resource{Spec: o.Spec}
	r.Metadata.Name = o.Metadata.Name
	if o.Metadata.Revision > 0 {
		r.Metadata.ResourceVersion = strconv.FormatInt(o.Metadata.Revision, 10)
	}
	return r
}

// hostedList is a page of a list; this stand-in has one page.
type hostedList struct {
	Entries []hostedObject `json:"entries"`
	More    bool           `json:"more"`
	At      uint64         `json:"at"`
}

type hostedEvent struct {
	Deleted bool         `json:"deleted"`
	Object  hostedObject `json:"stored_object"`
}

type hostedChanges struct {
	Events []hostedEvent `json:"events"`
	At     uint64        `json:"at"`
}

// HostedHandler serves the objects in the format of the users' platform.
func (s *Server) HostedHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/objects/{kind}", s.hostedRead).Methods(http.MethodGet)
	r.HandleFunc("/objects/{kind}", s.hostedWrite).Methods(http.MethodPost)
	r.HandleFunc("/objects/{kind}/{name}", s.hostedGet).Methods(http.MethodGet)
	r.HandleFunc("/objects/{kind}/{name}", s.hostedWrite).Methods(http.MethodPut)
	r.HandleFunc("/objects/{kind}/{name}", s.hostedDelete).Methods(http.MethodDelete)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f := s.faults.Load()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		r.ServeHTTP(w, req)
	})
}

func (s *Server) hostedRead(w http.ResponseWriter, r *http.Request) {
	kind := mux.Vars(r)["kind"]
	if from := r.URL.Query().Get("watch_stream"); from != "" {
		s.hostedWatch(w, r, kind, from)
		return
	}
	s.reads.Add(1)
	l := s.store.list(kind)
	out := hostedList{Entries: []hostedObject{}}
	out.At, _ = strconv.ParseUint(l.Metadata.ResourceVersion, 10, 64)
	for _, item := range l.Items {
		out.Entries = append(out.Entries, toHosted(item))
	}
	hostedAnswer(w, http.StatusOK, out)
}

func (s *Server) hostedWatch(w http.ResponseWriter, r *http.Request, kind, from string) {
	s.watches.Add(1)
	after, _ := strconv.ParseUint(from, 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("max_wait_ms"))
	timeout := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, reached, more, ok := s.store.since(kind, after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		out := hostedChanges{Events: []hostedEvent{}, At: reached}
		for _, e := range events {
			out.Events = append(out.Events, hostedEvent{Deleted: e.Type == "DELETED", Object: toHosted(e.Object)})
		}
		if len(out.Events) > 0 {
			hostedAnswer(w, http.StatusOK, out)
			return
		}
		select {
		case <-more:
		case <-timeout.C:
			hostedAnswer(w, http.StatusOK, out)
			return
		case <-*s.outage.Load():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) hostedGet(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	v := mux.Vars(r)
	found, ok := s.store.get(v["kind"], v["name"])
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	hostedAnswer(w, http.StatusOK, toHosted(found))
}

func (s *Server) hostedWrite(w http.ResponseWriter, r *http.Request) {
	s.writes.Add(1)
	var o hostedObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := mux.Vars(r)["kind"]
	var stored wire.Resource
	var result writeResult
	if r.Method == http.MethodPost {
		stored, result = s.store.create(kind, fromHosted(o))
	} else {
		stored, result = s.store.update(kind, fromHosted(o))
	}
	if result != notFound && s.drops.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case written:
		hostedAnswer(w, http.StatusOK, toHosted(stored))
	case conflict:
		standing, _ := s.store.get(kind, o.Metadata.Name)
		hostedAnswer(w, http.StatusConflict, toHosted(standing))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) hostedDelete(w http.ResponseWriter, r *http.Request) {
	s.writes.Add(1)
	v := mux.Vars(r)
	if s.store.remove(v["kind"], v["name"]) != written {
		w.WriteHeader(http.StatusNotFound)
	}
}

func hostedAnswer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}
