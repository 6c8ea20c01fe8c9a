package callers

import (
	"io"
	"net/http"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/engine"
)

// maxErrorResponseBytes bounds an error response of an engine or peer that is
// relayed.
const maxErrorResponseBytes = 64 << 10

// classifyErrorResponse classifies an engine's error response. A final error is
// relayed to the caller unchanged; the engine consumed no tokens.
func (x *exchange) classifyErrorResponse(attempt string, resp *http.Response) event.AttemptEnded {
	if !isFinalStatus(resp.StatusCode) {
		return retryableEnd(attempt, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorResponseBytes+1))
	if err != nil || len(body) > maxErrorResponseBytes {
		return retryableEnd(attempt, resp)
	}
	contentType := resp.Header.Get("Content-Type")
	x.sendFinal = func() { x.out.writeResponse(resp.StatusCode, contentType, body) }
	end := event.AttemptEnded{Attempt: attempt, Outcome: event.AttemptRejected, UsageKnown: true}
	if !x.arrival.Idempotent {
		end.Answer = newRecordedAnswer(resp.StatusCode, contentType, body)
	}
	return end
}

// isFinalStatus reports whether every other target would return the same error.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity, http.StatusUnsupportedMediaType:
		return true
	}
	return false
}

// retryableEnd returns the end of an attempt that may succeed at another
// target.
func retryableEnd(attempt string, resp *http.Response) event.AttemptEnded {
	end := event.AttemptEnded{Attempt: attempt, Outcome: event.AttemptFailed}
	if reason := resp.Header.Get(engine.HeaderNotStarted); reason != "" {
		end.Outcome, end.UsageKnown = event.AttemptNotStarted, true
		end.TargetLeaving = reason == engine.NotStartedLeaving
	}
	return end
}
