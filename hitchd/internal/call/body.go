package call

import (
	"bytes"
	"io"
)

// ReadBody reads the body into memory and returns it, or nil when there is none.
// Body is replaced by a reader of the same bytes, so that it can be read again.
// The caller port limits the body's size.
func (r *Request) ReadBody() ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = bytes.NewReader(body)
	return body, nil
}
