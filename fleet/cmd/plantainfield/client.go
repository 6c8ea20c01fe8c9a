package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"plantainfield.example/fleet/admin"
)

const (
	outputTable = "table"
	outputJSON  = "json"

	callTimeout = 30 * time.Second
)

// response is an instance's HTTP response.
type response struct {
	status int
	body   []byte
}

// call sends the request to the instances in order until one responds.
func (o *options) call(method, path, operation string, body []byte) (response, error) {
	client := &http.Client{Timeout: callTimeout}
	var failures []error
	for _, server := range o.servers {
		r, err := callOne(client, method, "http://"+server+path, operation, body)
		if err == nil {
			return r, nil
		}
		failures = append(failures, err)
	}
	return response{}, exitErrorf(exitFailed, "no instance responded: %w", errors.Join(failures...))
}

func callOne(client *http.Client, method, url, operation string, body []byte) (response, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if operation != "" {
		req.Header.Set(admin.HeaderOperationID, operation)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, raw}, err
}

// get fetches path and decodes the JSON response into v.
func (o *options) get(path string, v any) error {
	r, err := o.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return exitErrorf(exitFailed, "the instance responded with status %d: %s", r.status, bytes.TrimSpace(r.body))
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return exitErrorf(exitFailed, "the instance's response is malformed: %w", err)
	}
	return nil
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable prints rows under a header in aligned columns.
func printTable(header string, rows int, row func(w io.Writer, i int)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for i := range rows {
		row(w, i)
	}
	_ = w.Flush()
}
