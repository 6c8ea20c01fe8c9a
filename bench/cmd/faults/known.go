package main

import (
	"bufio"
	"os"
	"strings"
)

// knownPrefix is the prefix of the lines that name a scenario in the list of known
// failures: "faults: NAME | command and seed | what was seen | issue".
const knownPrefix = "faults: "

// readKnownFailures returns the names of the scenarios in a list of known
// failures. An empty path stands for an empty list.
func readKnownFailures(path string) (map[string]bool, error) {
	known := map[string]bool{}
	if path == "" {
		return known, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), knownPrefix)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, "|")
		known[strings.TrimSpace(name)] = true
	}
	return known, lines.Err()
}
