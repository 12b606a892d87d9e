package cwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Paths of the platform's HTTP interface.
const (
	PathRows      = "/table/rows/"
	PathList      = "/table/list"
	PathCommit    = "/table/commit"
	PathInstances = "/instances"
	PathObjects   = "/objects/"
)

// maxBody is the largest part of a response body that is read, in bytes.
const maxBody = 64 << 20

// DefaultTimeout is the timeout of a request if Client.Timeout is zero.
const DefaultTimeout = 2 * time.Second

// RowBody is the JSON form of a Row.
type RowBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	ETag  string `json:"etag"`
}

// CommitBody is the JSON form of a Change.
type CommitBody struct {
	Expect []ExpectBody `json:"expect"`
	Put    []RowBody    `json:"put"`
}

// ExpectBody is the JSON form of a Condition.
type ExpectBody struct {
	Key  string `json:"key"`
	ETag string `json:"etag"`
}

// InstanceBody is the JSON form of an Instance.
type InstanceBody struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Peer       string `json:"peer"`
	State      string `json:"state"`
}

// Client implements Table, Instances and Objects over HTTP. Set URL before use.
type Client struct {
	// URL is the base URL, for example http://127.0.0.1:7000.
	URL string
	// Timeout limits one request. Zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP sends the requests. If it is nil, http.DefaultClient is used.
	HTTP *http.Client

	mu sync.Mutex
	// list is the last list of instances, and listETag its entity tag.
	listETag string
	list     []Instance
}

var (
	_ Table     = (*Client)(nil)
	_ Instances = (*Client)(nil)
	_ Objects   = (*Client)(nil)
)

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	body, resp, err := c.do(ctx, http.MethodGet, PathRows+url.PathEscape(key), nil, "")
	if err != nil {
		return Row{}, &UnavailableError{Cause: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Row{Key: key, Value: body, ETag: resp.Header.Get("ETag")}, nil
	case http.StatusNotFound:
		return Row{}, &NotFoundError{Key: key}
	}
	return Row{}, &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	body, resp, err := c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(key), nil, "")
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	}
	return nil, &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	_, resp, err := c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(key), value, "*")
	if err != nil {
		return classifyWriteError(err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusPreconditionFailed:
		return nil
	case http.StatusServiceUnavailable:
		return &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	return &UnknownError{Cause: &StatusError{Status: resp.StatusCode}}
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []RowBody
	if err := c.getJSON(ctx, PathList+"?prefix="+url.QueryEscape(prefix), &rows); err != nil {
		return nil, err
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row(r))
	}
	return out, nil
}

// Instances implements Instances. The request is conditional, so the platform does not
// send an unchanged list again.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	tag, known := c.listETag, c.list
	c.mu.Unlock()
	body, resp, err := c.do(ctx, http.MethodGet, PathInstances, nil, tag)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	out, err := decodeInstances(body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.listETag, c.list = resp.Header.Get("ETag"), out
	c.mu.Unlock()
	return out, nil
}

func decodeInstances(body []byte) ([]Instance, error) {
	var list []InstanceBody
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	out := make([]Instance, 0, len(list))
	for _, i := range list {
		out = append(out, Instance{ID: i.ID, DataCentre: i.DataCentre, Peer: i.Peer, State: InstanceState(i.State)})
	}
	return out, nil
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	body, resp, err := c.do(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, ch Change) error {
	req := CommitBody{}
	for _, e := range ch.Expect {
		req.Expect = append(req.Expect, ExpectBody(e))
	}
	for _, p := range ch.Put {
		req.Put = append(req.Put, RowBody{Key: p.Key, Value: p.Value})
	}
	payload, err := json.Marshal(req)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	body, resp, err := c.do(ctx, http.MethodPost, PathCommit, payload, "")
	if err != nil {
		return classifyWriteError(err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return &ConflictError{Key: string(body)}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	return &UnknownError{Cause: &StatusError{Status: resp.StatusCode}}
}

// classifyWriteError returns an UnavailableError if the connection could not be opened,
// so that the request was not sent, and otherwise an UnknownError.
func classifyWriteError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Cause: err}
	}
	return &UnknownError{Cause: err}
}

func (c *Client) do(ctx context.Context, method, path string, payload []byte, ifNoneMatch string) ([]byte, *http.Response, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(payload))
	if err != nil {
		return nil, nil, err
	}
	if ifNoneMatch != "" {
		req.Header.Set("If-None-Match", ifNoneMatch)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return body, resp, err
}
