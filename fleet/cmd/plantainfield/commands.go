package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"plantainfield.example/core/audit"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/admin"
)

// readDocument reads and parses a configuration file. It prints each problem
// with its JSON path.
func readDocument(path string) ([]byte, *config.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, exitErrorf(exitInvalid, "%w", err)
	}
	doc, problems := config.Parse(raw)
	for _, p := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, p.Error())
	}
	if len(problems) > 0 {
		return nil, nil, exitErrorf(exitInvalid, "%s has %d errors", path, len(problems))
	}
	return raw, doc, nil
}

func newValidateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return printJSON(doc)
			}
			fmt.Printf("%s is valid: %d customers, %d budgets, %d models, %d services\n",
				args[0], len(doc.Customers), len(doc.Budgets), len(doc.Models), len(doc.Services))
			return nil
		},
	}
}

func newApplyCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a configuration file completely or not at all",
		Long: "Applies a configuration file completely or not at all. The file names the generation that it is based on;\n" +
			"if another one is in force, nothing changes and the exit code is 3.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, _, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return o.apply(raw)
		},
	}
}

// apply sends the file under one operation ID, so that a retry at another
// instance is recognized as the same apply.
func (o *options) apply(raw []byte) error {
	r, err := o.call(http.MethodPost, "/v1/apply", uuid.NewString(), raw)
	if err != nil {
		return err
	}
	var a admin.ApplyResponse
	if err := json.Unmarshal(r.body, &a); err != nil {
		return exitErrorf(exitUnknown, "the response is malformed; read status: %w", err)
	}
	if o.output == outputJSON {
		if err := printJSON(a); err != nil {
			return err
		}
	}
	switch {
	case a.Accepted:
		if o.output == outputTable {
			fmt.Printf("accepted as generation %d\n", a.Generation)
		}
		return nil
	case a.Code == errkind.ConfigConflict:
		return exitErrorf(exitConflict, "refused: the file is based on another generation; generation %d is in force", a.Generation)
	case a.Code == errkind.ConfigInvalid:
		return exitErrorf(exitInvalid, "refused: %v", a.Problems)
	case a.Code == errkind.PlatformUnavailable:
		return exitErrorf(exitFailed, "refused: the platform can't be reached; nothing changed")
	default:
		return exitErrorf(exitUnknown, "the file may have been accepted; read status")
	}
}

func newDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			var current config.Document
			if err := o.get("/v1/configuration", &current); err != nil {
				return err
			}
			changes := config.Diff(&current, doc)
			if o.output == outputJSON {
				if err := printJSON(changes); err != nil {
					return err
				}
			} else {
				printTable("PATH\tIN FORCE\tIN FILE", len(changes), func(w io.Writer, i int) {
					fmt.Fprintf(w, "%s\t%s\t%s\n", changes[i].Path, changes[i].Old, changes[i].New)
				})
			}
			if len(changes) > 0 {
				return exitErrorf(exitDifferences, "%d differences", len(changes))
			}
			return nil
		},
	}
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the configuration of each instance, the targets and the budgets",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s event.Status
			if err := o.get("/v1/status", &s); err != nil {
				return err
			}
			if o.output == outputJSON {
				return printJSON(s)
			}
			printStatus(&s)
			return nil
		},
	}
}

func printStatus(s *event.Status) {
	fmt.Printf("generation %d in force on %s\n", s.Generation, s.Instance)
	if len(s.Unreached) > 0 {
		fmt.Printf("%s reaches no target of: %s\n", s.Instance, strings.Join(s.Unreached, ", "))
	}
	fmt.Println()
	printTable("INSTANCE\tDATA CENTRE\tGENERATION\tSTATE", len(s.Instances), func(w io.Writer, i int) {
		in := s.Instances[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", in.Name, in.DataCentre, in.Generation, in.State)
	})
	fmt.Println()
	printTable("TARGET\tSERVES\tSTATE\tIN FLIGHT", len(s.Targets), func(w io.Writer, i int) {
		t := s.Targets[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", t.Name, strings.Join(t.Serves, ","), t.State, t.InFlight)
	})
	fmt.Println()
	printTable("BUDGET\tCUSTOMER\tPREPAID\tSETTLED\tOUTSTANDING\tAVAILABLE", len(s.Budgets), func(w io.Writer, i int) {
		b := s.Budgets[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", b.Name, b.Customer, b.Prepaid, b.Settled, b.Outstanding, b.Available)
	})
}

func newDumpCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "dump [ADDRESS]",
		Short: "Print the whole state of one instance as JSON",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 1 {
				o.servers = args
			}
			var d node.Dump
			if err := o.get("/v1/dump", &d); err != nil {
				return err
			}
			return printJSON(d)
		},
	}
}

func newAuditCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "audit",
		Short: "Compare the ledger with the bills",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var r audit.Report
			if err := o.get("/v1/audit", &r); err != nil {
				return err
			}
			if o.output == outputJSON {
				if err := printJSON(r); err != nil {
					return err
				}
			} else {
				printAudit(&r)
			}
			if len(r.Violations) > 0 {
				return exitErrorf(exitViolations, "%d violations", len(r.Violations))
			}
			return nil
		},
	}
}

func printAudit(r *audit.Report) {
	printTable("BUDGET\tPREPAID\tSETTLED\tOUTSTANDING\tBILLED\tBILLS", len(r.Budgets), func(w io.Writer, i int) {
		b := r.Budgets[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Settled, b.Outstanding, b.Billed, b.Bills)
	})
	fmt.Printf("%d bills, %d violations\n", r.Bills, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("violation:", v)
	}
}
