package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/settings"
)

// Change identifies a change and sets its precondition.
type Change struct {
	// Operation is the operation id. A repeat of a change must have the same id.
	Operation string
	// IfVersion, if not 0, makes the change fail if the configuration has another
	// version.
	IfVersion int64
}

func (c Change) header() http.Header {
	h := make(http.Header)
	h.Set(wire.HeaderOperation, c.Operation)
	if c.IfVersion != 0 {
		h.Set(wire.HeaderIfVersion, strconv.FormatInt(c.IfVersion, 10))
	}
	return h
}

// Status returns the state of the fleet as known to the first instance that responds.
// If explain is set, it includes an explanation as lines of text.
func (c *Client) Status(ctx context.Context, explain bool) (*wire.Status, error) {
	request := call{method: http.MethodGet, path: "/v1/status"}
	if explain {
		request.query = url.Values{"explain": {"true"}}
	}
	return get[wire.Status](ctx, c, request)
}

// Presets returns the names of the presets.
func (c *Client) Presets(ctx context.Context) (*wire.Presets, error) {
	return get[wire.Presets](ctx, c, call{method: http.MethodGet, path: "/v1/presets"})
}

// Preset returns one preset.
func (c *Client) Preset(ctx context.Context, name string) (*wire.Preset, error) {
	return get[wire.Preset](ctx, c, call{method: http.MethodGet, path: "/v1/presets/" + url.PathEscape(name)})
}

// History returns at most limit audit records, the newest first.
func (c *Client) History(ctx context.Context, limit int) (*wire.History, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return get[wire.History](ctx, c, call{method: http.MethodGet, path: "/v1/history", query: query})
}

// Apply stores a preset, given in YAML, under its name.
func (c *Client) Apply(ctx context.Context, change Change, name string, yaml []byte) (*wire.Changed, error) {
	return get[wire.Changed](ctx, c, call{
		method:      http.MethodPut,
		path:        "/v1/presets/" + url.PathEscape(name),
		contentType: "application/yaml",
		body:        yaml,
		header:      change.header(),
	})
}

// Use puts a preset in force.
func (c *Client) Use(ctx context.Context, change Change, name string) (*wire.Changed, error) {
	return c.send(ctx, change, http.MethodPost, "/v1/in-force", wire.InForce{Name: name})
}

// Drain stops new requests to an upstream or a zone, or, if undo is set, allows them
// again.
func (c *Client) Drain(ctx context.Context, change Change, drain settings.Drain, undo bool) (*wire.Changed, error) {
	method := http.MethodPost
	if undo {
		method = http.MethodDelete
	}
	return c.send(ctx, change, method, "/v1/drains", drain)
}

func (c *Client) send(ctx context.Context, change Change, method, path string, value any) (*wire.Changed, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return get[wire.Changed](ctx, c, call{
		method:      method,
		path:        path,
		contentType: "application/json",
		body:        body,
		header:      change.header(),
	})
}

// Leave starts the planned stop of one instance. It takes the address of the
// instance's operators' API from the status, and returns an APIError with
// wire.CodeNotFound if the status does not contain the instance.
func (c *Client) Leave(ctx context.Context, change Change, instance string) (*wire.Leaving, error) {
	status, err := c.Status(ctx, false)
	if err != nil {
		return nil, err
	}
	address, err := operatorAPIAddress(status, instance)
	if err != nil {
		return nil, err
	}
	endpoint, err := parseEndpoint(address)
	if err != nil {
		return nil, err
	}
	result := new(wire.Leaving)
	request := call{method: http.MethodPost, path: "/v1/leave", header: change.header()}
	return result, c.doOnEndpoint(ctx, endpoint, request, result)
}

func operatorAPIAddress(status *wire.Status, instance string) (string, error) {
	for i := range status.Entries {
		if status.Entries[i].Name == instance {
			return status.Entries[i].Operators, nil
		}
	}
	return "", &APIError{Status: http.StatusNotFound, Answer: wire.Error{
		Code:    wire.CodeNotFound,
		Message: "the status contains no instance " + strconv.Quote(instance),
	}}
}

func get[T any](ctx context.Context, c *Client, request call) (*T, error) {
	result := new(T)
	if err := c.do(ctx, request, result); err != nil {
		return nil, err
	}
	return result, nil
}
