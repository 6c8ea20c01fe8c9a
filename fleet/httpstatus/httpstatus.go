// Package httpstatus checks the status codes of responses.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid reports a response whose status code is not one of HTTP, or that nobody
// asked for. What follows its head belongs to no request.
var ErrInvalid = errors.New("the response has no valid status")

// maxCode is the largest status code of HTTP.
const maxCode = 599

// Check returns ErrInvalid for a status code that HTTP doesn't have, and for a switch to
// another protocol, which no request of an instance asks for.
func Check(code int) error {
	if code < http.StatusContinue || code > maxCode || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrInvalid, code)
	}
	return nil
}
