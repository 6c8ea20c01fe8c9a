// Package platform is the client of the platform's object API, which follows
// the REST conventions of Kubernetes custom resources: one collection per kind
// under a group and version, resourceVersion for conditional updates, and
// watches as a stream of JSON events.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/transfer"
)

const (
	// APIVersion is the API group and version of the router's objects.
	APIVersion = "plantainfield.example/v1"
	basePath   = "/apis/" + APIVersion + "/"
	// maxResponseBytes bounds the response to a call. Lists contain many
	// objects.
	maxResponseBytes = 256 << 20
)

// Resource is the JSON form of an object.
type Resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

// Metadata identifies a resource and its version.
type Metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ResourceList is the JSON form of a collection.
type ResourceList struct {
	APIVersion string     `json:"apiVersion"`
	Kind       string     `json:"kind"`
	Metadata   Metadata   `json:"metadata"`
	Items      []Resource `json:"items"`
}

// WatchEvent is one line of a watch response.
type WatchEvent struct {
	// Type is ADDED, MODIFIED, DELETED or ERROR.
	Type   string   `json:"type"`
	Object Resource `json:"object"`
}

// Plural returns the path element of the collection of a kind.
func Plural(k event.ObjectKind) string { return strings.ToLower(string(k)) + "s" }

// Client calls the platform's API. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client of the API at address, an IP:port. Each call
// except a watch ends once nothing of it is sent or received for timeout.
func NewClient(address string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address + basePath, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Do makes a call and classifies its result.
func (c *Client) Do(ctx context.Context, call event.PlatformCall) event.PlatformResult {
	t := transfer.Begin(ctx, c.timeout)
	defer t.End()
	result := event.PlatformResult{Call: call.Call}
	req, err := c.request(t.Context(), call)
	if err != nil {
		result.Status = event.PlatformUnavailable
		return result
	}
	if req.Body != nil {
		req.Body = io.NopCloser(t.Reader(req.Body, c.timeout))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		result.Status = failureStatus(call.Op, err)
		return result
	}
	defer resp.Body.Close()
	began := time.Now()
	t.Progressed(c.timeout)
	body, err := io.ReadAll(io.LimitReader(t.Reader(resp.Body, c.timeout), maxResponseBytes))
	if err != nil {
		result.Status = event.PlatformUnknown
		return result
	}
	result.Age = time.Since(began)
	c.setResult(&result, call, resp.StatusCode, body)
	return result
}

func (c *Client) request(ctx context.Context, call event.PlatformCall) (*http.Request, error) {
	collection := c.base + Plural(call.Object.Kind)
	object := collection + "/" + url.PathEscape(call.Object.Name)
	switch call.Op {
	case event.OpGet:
		return http.NewRequestWithContext(ctx, http.MethodGet, object, nil)
	case event.OpDelete:
		return http.NewRequestWithContext(ctx, http.MethodDelete, object, nil)
	case event.OpList:
		return http.NewRequestWithContext(ctx, http.MethodGet, collection, nil)
	}
	body, err := json.Marshal(Resource{
		APIVersion: APIVersion, Kind: string(call.Object.Kind), Spec: call.Object.Value,
		Metadata: Metadata{Name: call.Object.Name, ResourceVersion: call.Object.Version},
	})
	if err != nil {
		return nil, err
	}
	method, endpoint := http.MethodPost, collection
	if call.Op == event.OpUpdate {
		method, endpoint = http.MethodPut, object
	}
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
		// The transport must not retry a write: the core resolves lost
		// responses itself.
		req.GetBody = nil
	}
	return req, err
}

// failureStatus distinguishes calls that certainly had no effect from calls
// that may have had one.
func failureStatus(op event.PlatformOp, err error) event.PlatformStatus {
	if op == event.OpGet || op == event.OpList || errors.Is(err, syscall.ECONNREFUSED) {
		return event.PlatformUnavailable
	}
	return event.PlatformUnknown
}

func (c *Client) setResult(r *event.PlatformResult, call event.PlatformCall, code int, body []byte) {
	switch {
	case code == http.StatusNotFound:
		r.Status = event.PlatformNotFound
	case code == http.StatusConflict:
		r.Status = event.PlatformConflict
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		r.Status = event.PlatformUnavailable
	case code >= http.StatusBadRequest:
		r.Status = event.PlatformUnknown
	case call.Op == event.OpList:
		r.Status, r.Objects = decodeList(call.Object, body)
	default:
		r.Status, r.Object = decodeObject(call.Object.Kind, body)
	}
}

func decodeObject(kind event.ObjectKind, body []byte) (event.PlatformStatus, event.Object) {
	var res Resource
	if err := json.Unmarshal(body, &res); err != nil {
		return event.PlatformUnknown, event.Object{}
	}
	return event.PlatformOK, toObject(kind, res)
}

func decodeList(want event.Object, body []byte) (event.PlatformStatus, []event.Object) {
	var list ResourceList
	if err := json.Unmarshal(body, &list); err != nil {
		return event.PlatformUnknown, nil
	}
	var objects []event.Object
	for _, res := range list.Items {
		if strings.HasPrefix(res.Metadata.Name, want.Name) {
			objects = append(objects, toObject(want.Kind, res))
		}
	}
	return event.PlatformOK, objects
}

func toObject(kind event.ObjectKind, r Resource) event.Object {
	return event.Object{Kind: kind, Name: r.Metadata.Name, Version: r.Metadata.ResourceVersion, Value: r.Spec}
}

// Watch calls onEvent for each change to objects of a kind after
// resourceVersion from, until ctx ends or the watch breaks. It returns the
// reason for the end.
func (c *Client) Watch(ctx context.Context, kind event.ObjectKind, from string, onEvent func(eventType string, o event.Object)) error {
	u := c.base + Plural(kind) + "?watch=true&resourceVersion=" + url.QueryEscape(from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch of %s: status %d", kind, resp.StatusCode)
	}
	dec := json.NewDecoder(resp.Body)
	for {
		var e WatchEvent
		if err := dec.Decode(&e); err != nil {
			return fmt.Errorf("watch of %s: %w", kind, err)
		}
		if e.Type == "ERROR" {
			return fmt.Errorf("watch of %s: expired", kind)
		}
		onEvent(e.Type, toObject(kind, e.Object))
	}
}

// List returns all objects of a kind, and the resourceVersion from which to
// watch them.
func (c *Client) List(ctx context.Context, kind event.ObjectKind) ([]event.Object, string, error) {
	t := transfer.Begin(ctx, c.timeout)
	defer t.End()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.base+Plural(kind), nil)
	if err != nil {
		return nil, "", err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	t.Progressed(c.timeout)
	if resp.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("list of %s: status %d", kind, resp.StatusCode)
	}
	var list ResourceList
	if err := json.NewDecoder(io.LimitReader(t.Reader(resp.Body, c.timeout), maxResponseBytes)).Decode(&list); err != nil {
		return nil, "", err
	}
	objects := make([]event.Object, 0, len(list.Items))
	for _, res := range list.Items {
		objects = append(objects, toObject(kind, res))
	}
	return objects, list.Metadata.ResourceVersion, nil
}
