// Command faults runs the system's processes on loopback under injected failures
// and checks whether the promises held. It prints one line for each promise and
// scenario, and exits with code 1 on a violation.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"plantainfield.example/bench/faults"
)

const defaultSeed = 20261203

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	r := faults.Runner{Out: os.Stdout}
	var o options
	var list bool
	cmd := &cobra.Command{
		Use: "faults", Short: "Run the processes under injected failures and check the promises", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if list {
				for _, s := range faults.Scenarios() {
					fmt.Printf("%-42s %s\n", s.Name, s.Mechanism)
				}
				return nil
			}
			return runAll(cmd, &r, o)
		},
	}
	cmd.Flags().StringVar(&r.Bin, "bin", "bin", "directory of the built programs")
	cmd.Flags().Uint64Var(&r.Seed, "seed", defaultSeed, "seed of the callers' random choices")
	cmd.Flags().BoolVar(&r.Keep, "keep", false, "keep the processes' files after the run")
	cmd.Flags().StringArrayVar(&o.only, "only", nil, "run only the scenarios with these names")
	cmd.Flags().StringVar(&o.knownFailuresFile, "known-red", "", "file with known failures, which are printed but do not fail the command")
	cmd.Flags().BoolVar(&list, "list", false, "list the scenarios and the mechanisms that they test")
	return cmd
}

// options are the flags that select scenarios and known failures.
type options struct {
	only              []string
	knownFailuresFile string
}

func runAll(cmd *cobra.Command, r *faults.Runner, o options) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	selected, err := selectScenarios(o.only)
	if err != nil {
		return err
	}
	known, err := readKnownFailures(o.knownFailuresFile)
	if err != nil {
		return err
	}
	fmt.Println("promise | fault | runs | violations | false refusals | verdict")
	failed := 0
	for _, s := range selected {
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
		passed := r.Run(ctx, s)
		switch {
		case known[s.Name] && passed:
			fmt.Printf("    %s is listed as a known failure, but passed\n", s.Name)
		case known[s.Name]:
			fmt.Printf("    %s failed as listed in %s: ignored\n", s.Name, o.knownFailuresFile)
		case !passed:
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scenarios failed", failed, len(selected))
	}
	return nil
}

// selectScenarios returns the scenarios with the given names, or all if there are no names.
func selectScenarios(only []string) ([]faults.Scenario, error) {
	all := faults.Scenarios()
	if len(only) == 0 {
		return all, nil
	}
	var selected []faults.Scenario
	for _, name := range only {
		i := slices.IndexFunc(all, func(s faults.Scenario) bool { return s.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no scenario %q", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
