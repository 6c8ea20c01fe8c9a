// Command demo starts a small fleet as separate processes on loopback, runs each
// of its main uses once, and stops it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/bench/load"
)

const (
	exampleKey   = "example-key-bursa-heat"
	readyTimeout = 10 * time.Second
	runTimeout   = time.Minute
)

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	file := flag.String("config", "examples/iliksu.json", "configuration file to apply")
	flag.Parse()
	if err := run(*bin, *file); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("\ndemo passed")
}

func run(bin, file string) (err error) {
	dir, err := os.MkdirTemp("", "plantainfield-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := harness.NewFleet(bin, dir)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Kill()
		}
	}()
	if err := startAll(f); err != nil {
		return err
	}
	if err := runDemo(f, file); err != nil {
		return err
	}
	fmt.Println("\nstopping all processes gracefully")
	return f.Stop()
}

// startAll starts 2 data centres with 2 instances each, 3 engines, 1 service.
func startAll(f *harness.Fleet) error {
	fmt.Println("starting the platform, 4 instances in 2 data centres, 3 engines and 1 service")
	for _, dc := range []string{"bursa", "kocaeli"} {
		for n := 1; n <= 2; n++ {
			if _, err := f.StartRouter(fmt.Sprintf("%s-%d", dc, n), dc, nil); err != nil {
				return err
			}
		}
	}
	for i, dc := range []string{"bursa", "kocaeli", "bursa"} {
		if _, err := f.StartEngine(fmt.Sprintf("engine-%d", i+1), dc, []string{"assistant"}); err != nil {
			return err
		}
	}
	_, err := f.StartService("records-1", "bursa", "records")
	return err
}

// runCommand runs the operators' command-line tool and prints the command and its
// output.
func runCommand(f *harness.Fleet, args ...string) error {
	fmt.Printf("\n$ plantainfield %v\n", args)
	out, err := f.Command(args...)
	fmt.Print(out)
	return err
}

func runDemo(f *harness.Fleet, file string) error {
	if err := runCommand(f, "apply", file); err != nil {
		return err
	}
	var seeds []string
	for _, r := range f.Routers {
		seeds = append(seeds, r.Settings.Callers.Address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	client := load.NewClient(exampleKey, seeds)
	address, err := waitReady(ctx, f, client)
	if err != nil {
		return err
	}
	if err := sendRequests(ctx, client, address); err != nil {
		return err
	}
	// Instances report their spending to the ledger every few seconds.
	time.Sleep(3 * time.Second)
	return errors.Join(runCommand(f, "status"), runCommand(f, "audit"))
}

// waitReady waits until every instance answers a service call. It returns the
// address of an instance to use.
func waitReady(ctx context.Context, f *harness.Fleet, c *load.Client) (string, error) {
	var address string
	err := harness.Eventually(readyTimeout, "all instances are ready", func() bool {
		for _, r := range f.Routers {
			res := c.Call(ctx, r.Settings.Callers.Address, "GET", "records/stock", "", nil)
			if !res.Complete {
				return false
			}
		}
		list, err := c.Addresses(ctx)
		if err != nil || len(list) == 0 {
			return false
		}
		address = list[0]
		return true
	})
	return address, err
}

var errUnexpectedAnswer = errors.New("unexpected answer")

func sendRequests(ctx context.Context, c *load.Client, address string) error {
	fmt.Println("\nstreamed chat completion at", address)
	r := c.Chat(ctx, address, load.Chat{Model: "assistant", Prompt: "Plate heat exchanger, primary return stays at 62 degrees. What do I check first?", MaxTokens: 64, Stream: true})
	if !r.Complete {
		return fmt.Errorf("%w: %+v", errUnexpectedAnswer, r)
	}
	fmt.Printf("  complete answer in %v (first token after %v), %d frames, %d tokens\n", r.Total.Round(time.Millisecond), r.FirstToken.Round(time.Millisecond), r.Frames, r.Usage.TotalTokens)

	fmt.Println("plain call GET records/jobs/17")
	r = c.Call(ctx, address, "GET", "records/jobs/17", "", nil)
	if !r.Complete {
		return fmt.Errorf("%w: %+v", errUnexpectedAnswer, r)
	}
	fmt.Print("  ", r.Text)

	fmt.Println("non-idempotent call POST records/bookings, sent twice under one key")
	var answers [2]string
	for i := range answers {
		r = c.Call(ctx, address, "POST", "records/bookings", "booking-4711", []byte(`{"job":"swap plate heat exchanger"}`))
		if !r.Complete {
			return fmt.Errorf("%w: %+v", errUnexpectedAnswer, r)
		}
		answers[i] = r.Text
		fmt.Print("  ", r.Text)
		time.Sleep(200 * time.Millisecond)
	}
	if answers[0] != answers[1] {
		return fmt.Errorf("%w: the booking ran twice", errUnexpectedAnswer)
	}
	return nil
}
