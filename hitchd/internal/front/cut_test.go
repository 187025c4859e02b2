package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
)

// A response that breaks off on its way from a server must not look whole: in HTTP/1.0 its end is
// that of the connection, in HTTP/1.1 without a length its last chunk.
func TestBrokenResponseIsNotEndedInOrder(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, length := range []int{0, 10, 5 << 10, 300 << 10} {
			f := testFront(func(context.Context, *call.Request) (*call.Response, error) {
				body := io.MultiReader(strings.NewReader(strings.Repeat("x", length)), iotest.ErrReader(errors.New("connection reset")))
				return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
			})
			c := serveFront(t, f)
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(c, "GET /service/stock/ "+version+"\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(c)
			whole := err == nil
			if version == "HTTP/1.1" {
				whole = strings.HasSuffix(string(data), "0\r\n\r\n")
			}
			if whole {
				t.Errorf("%s, %d bytes: a response that broke off ended in order, %d bytes", version, length, len(data))
			}
		}
	}
}
