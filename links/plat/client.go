package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// maxBody bounds answers of the platform, in bytes.
const maxBody = 64 << 20

// Client reaches the platform over HTTP. It implements [Table] and [Objects].
type Client struct {
	base   string
	client *http.Client
}

// Option changes a client.
type Option func(*Client)

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.client.Timeout = d }
}

// defaultTimeout bounds a call unless [WithTimeout] says otherwise.
const defaultTimeout = 3 * time.Second

// NewClient returns a client of the platform at the base address, as in
// "http://127.0.0.1:7000".
func NewClient(base string, options ...Option) *Client {
	c := &Client{base: base, client: &http.Client{
		Timeout:   defaultTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute},
	}}
	for _, o := range options {
		o(c)
	}
	return c
}

type rowsAnswer struct {
	Rows []Row `json:"rows"`
}

type commitAnswer struct {
	Version int64 `json:"version"`
}

// Get returns the row, or [ErrMissing].
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, "get row "+key, "/table/row?"+url.Values{"key": {key}}.Encode(), &row)
	return row, err
}

// List returns at most limit rows under the prefix that follow the key after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var a rowsAnswer
	err := c.read(ctx, "list rows "+prefix, "/table/rows?"+q.Encode(), &a)
	return a.Rows, err
}

// Commit runs the transaction and returns the version that its writes got. It
// returns [ErrConflict], [ErrDown] when nothing was written, or [ErrUnknown].
func (c *Client) Commit(ctx context.Context, t Txn) (int64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	var a commitAnswer
	err = c.write(ctx, "commit", http.MethodPost, "/table/txn", body, &a)
	return a.Version, err
}

// Load returns the object, or [ErrMissing].
func (c *Client) Load(ctx context.Context, key string) ([]byte, error) {
	data, err := c.do(ctx, http.MethodGet, "/object/"+url.PathEscape(key), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "load object %s at platform %s", key, c.base)
	}
	return data, nil
}

// Store writes the object.
func (c *Client) Store(ctx context.Context, key string, data []byte) error {
	return c.write(ctx, "store object "+key, http.MethodPut, "/object/"+url.PathEscape(key), data, nil)
}

func (c *Client) read(ctx context.Context, step, path string, out any) error {
	data, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errors.Wrapf(err, "%s at platform %s", step, c.base)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "%s at platform %s", step, c.base)
	}
	return nil
}

func (c *Client) write(ctx context.Context, step, method, path string, body []byte, out any) error {
	data, err := c.do(ctx, method, path, body)
	if err != nil {
		return errors.Wrapf(err, "%s at platform %s", step, c.base)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(ErrUnknown, "%s at platform %s: %v", step, c.base, err)
	}
	return nil
}

// do makes one call and sorts its failure into this package's errors.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	// A reader without GetBody keeps net/http from sending a write twice.
	var r io.Reader
	if body != nil {
		r = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return nil, failure(method, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return nil, failure(method, err)
	}
	return data, status(res.StatusCode)
}

// failure tells a call that never left from one whose answer was lost.
func failure(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrDown, err.Error())
	}
	if method == http.MethodGet {
		return errors.Wrap(ErrDown, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

func status(code int) error {
	switch code {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrMissing
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable:
		return ErrDown
	}
	return errors.Wrapf(ErrUnknown, "status %d", code)
}
