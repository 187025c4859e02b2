package call

import (
	"bytes"
	"io"
)

// ReadBody returns the whole body, whose size the caller port bounds, and
// leaves it to be read again. It returns nil when there is none.
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
