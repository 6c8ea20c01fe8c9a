package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"plantainfield.example/bench/load"
)

const (
	maxConcurrency     = 2000
	maxRequests        = 1_000_000
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
)

// runOptions are the flags of the run command.
type runOptions struct {
	servers     []string
	key, model  string
	requests    int
	concurrency int
	promptBytes int
	maxTokens   int64
}

func newRunCommand() *cobra.Command {
	o := runOptions{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Send streamed chat requests and print latencies",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) },
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.servers, "server", nil, "IP:port of the caller listeners of instances")
	f.StringVar(&o.key, "key", "", "API key")
	f.StringVar(&o.model, "model", "assistant", "model")
	f.IntVar(&o.requests, "requests", 100, "number of requests")
	f.IntVar(&o.concurrency, "concurrency", 10, "number of concurrent requests")
	f.IntVar(&o.promptBytes, "prompt-bytes", 400, "length of a prompt in bytes")
	f.Int64Var(&o.maxTokens, "max-tokens", 64, "maximum output of a request in tokens")
	return cmd
}

// tally aggregates results. It is safe for concurrent use until print is called.
type tally struct {
	mu           sync.Mutex
	first, total *hdrhistogram.Histogram
	complete     int
	failures     map[string]int
}

func (t *tally) add(r load.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.Complete:
		t.complete++
		_ = t.first.RecordValue(r.FirstToken.Microseconds())
		_ = t.total.RecordValue(r.Total.Microseconds())
	case r.Error != nil:
		t.failures[string(r.Error.Code)]++
	default:
		t.failures["broken"]++
	}
}

func (o *runOptions) run(ctx context.Context) error {
	if o.requests < 1 || o.requests > maxRequests || o.concurrency < 1 || o.concurrency > maxConcurrency {
		return errors.New("--requests or --concurrency is out of bounds")
	}
	client := load.NewClient(o.key, o.servers)
	t := &tally{
		first: hdrhistogram.New(1, histogramMaxMicros, 3), total: hdrhistogram.New(1, histogramMaxMicros, 3), failures: map[string]int{},
	}
	start := time.Now()
	o.sendAll(ctx, client, t)
	t.print(time.Since(start), o.requests)
	if t.complete < o.requests {
		return fmt.Errorf("%d of %d requests failed", o.requests-t.complete, o.requests)
	}
	return nil
}

func (o *runOptions) sendAll(ctx context.Context, client *load.Client, t *tally) {
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range o.concurrency {
		workers.Go(func() {
			for n := range jobs {
				t.add(o.sendOne(ctx, client, n))
			}
		})
	}
	for n := range o.requests {
		jobs <- n
	}
	close(jobs)
	workers.Wait()
}

func (o *runOptions) sendOne(ctx context.Context, client *load.Client, n int) load.Result {
	addresses, err := client.Addresses(ctx)
	if err != nil {
		return load.Result{TransportErr: err}
	}
	prompt := fmt.Sprintf("request %d ", n)
	prompt += strings.Repeat("x", max(0, o.promptBytes-len(prompt)))
	return client.Chat(ctx, addresses[n%len(addresses)], load.Chat{Model: o.model, Prompt: prompt, MaxTokens: o.maxTokens, Stream: true})
}

func (t *tally) print(elapsed time.Duration, requests int) {
	fmt.Printf("%d requests in %v (%.0f/s), %d complete\n", requests, elapsed.Round(time.Millisecond), float64(requests)/elapsed.Seconds(), t.complete)
	for _, h := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", t.first}, {"total", t.total}} {
		fmt.Printf("%-12s p50 %v  p95 %v  p99 %v  max %v\n", h.name, micros(h.h.ValueAtQuantile(50)), micros(h.h.ValueAtQuantile(95)), micros(h.h.ValueAtQuantile(99)), micros(h.h.Max()))
	}
	for code, n := range t.failures {
		fmt.Printf("failed: %s %d\n", code, n)
	}
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
