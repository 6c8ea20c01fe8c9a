// Package httpabort breaks off responses of an HTTP server so that the client can't
// take them for complete.
package httpabort

import (
	"net/http"

	"go.uber.org/zap"
)

// Abort breaks off the response to r, of which a part may have been sent, and ends the
// handler. To a client of HTTP/1.0 a response without a length is complete once its
// connection is closed in order, so that one is reset.
func Abort(w http.ResponseWriter, r *http.Request, log *zap.Logger) {
	if !r.ProtoAtLeast(1, 1) {
		if err := reset(w); err != nil {
			log.Warn("connection not reset", zap.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}

func reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			return err
		}
	}
	return conn.Close()
}
