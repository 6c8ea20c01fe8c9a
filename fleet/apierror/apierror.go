// Package apierror writes the JSON error responses of all HTTP listeners.
package apierror

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainfield.example/core/errkind"
)

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error in a Body.
type Detail struct {
	Type    string       `json:"type"`
	Code    errkind.Kind `json:"code"`
	Message string       `json:"message"`
	Ran     errkind.Ran  `json:"ran"`
	// RetryAfterSeconds is how long the client should wait before it retries,
	// or 0 if a retry cannot help.
	RetryAfterSeconds int `json:"retry_after_seconds"`
}

type kindKey struct{}

// New returns an error of the given kind. An empty message selects the default
// message of the kind.
func New(kind errkind.Kind, message string) error {
	defaults := errkind.Lookup(kind)
	if message == "" {
		message = defaults.Message
	}
	return merry.New(message, merry.WithHTTPCode(defaults.Status), merry.WithValue(kindKey{}, kind))
}

// KindOf returns the kind of an error made by New, or errkind.Internal for any
// other error.
func KindOf(err error) errkind.Kind {
	if k, ok := merry.Value(err, kindKey{}).(errkind.Kind); ok {
		return k
	}
	return errkind.Internal
}

// BodyOf returns the response body for a kind. Empty and zero arguments select
// the defaults of the kind.
func BodyOf(kind errkind.Kind, message string, ran errkind.Ran, retryAfter time.Duration) Body {
	defaults := errkind.Lookup(kind)
	d := Detail{Type: defaults.Type, Code: kind, Message: defaults.Message, Ran: defaults.Ran, RetryAfterSeconds: defaults.RetryAfterSeconds}
	if message != "" {
		d.Message = message
	}
	if ran != "" {
		d.Ran = ran
	}
	if retryAfter > 0 {
		d.RetryAfterSeconds = int(math.Ceil(retryAfter.Seconds()))
	}
	return Body{Error: d}
}

// Write sends b as the complete error response.
func Write(w http.ResponseWriter, b Body) {
	w.Header().Set("Content-Type", "application/json")
	if b.Error.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(b.Error.RetryAfterSeconds))
	}
	w.WriteHeader(errkind.Lookup(b.Error.Code).Status)
	_ = json.NewEncoder(w).Encode(b)
}

// WriteError sends the response for an error made by New.
func WriteError(w http.ResponseWriter, err error) {
	Write(w, BodyOf(KindOf(err), err.Error(), "", 0))
}

// Handler returns a handler that answers every request with an error of the
// given kind.
func Handler(kind errkind.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, BodyOf(kind, "", "", 0))
	})
}

// ReadError converts an error from reading a request body to an error for the
// response.
func ReadError(err error) error {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return New(errkind.BodyTooLarge, "")
	case errors.As(err, &netErr) && netErr.Timeout():
		return New(errkind.SlowSender, "")
	}
	return New(errkind.InvalidRequest, "the body could not be read")
}
