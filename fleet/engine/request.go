package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// NewRequest returns a request that the HTTP transport sends at most once.
// http.Transport retries a request on its own after a reused connection broke,
// if the body is nil or http.NoBody or has a GetBody, and the method or an
// Idempotency-Key header permits it. By then the target may already have run
// the request.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	return req, nil
}
