// Package httpserve runs the HTTP server of a stand-in until the process gets
// SIGTERM or SIGINT.
package httpserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"
)

// stopTimeout bounds a graceful shutdown and the time to read request headers.
const stopTimeout = 5 * time.Second

// Run listens on address, an IP:port, prints the address it listens on and
// serves handler. On SIGTERM or SIGINT it waits up to stopTimeout for in-flight
// requests and then closes their connections.
func Run(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: stopTimeout}
	go func() {
		<-ctx.Done()
		stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
		defer cancelStop()
		if server.Shutdown(stopCtx) != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
