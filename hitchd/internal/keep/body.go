package keep

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// trackedBody is a response body that reports its end once: it was read to the
// end, reading failed, it was closed early, or the context ended.
type trackedBody struct {
	io.ReadCloser
	stop func() bool
	once sync.Once
	// onEnd is called with nil after a complete response and with the cause
	// otherwise. It is called before the reader gets the error or EOF.
	onEnd func(error)
}

// errClosedEarly is the cause when a response body was closed before its end.
var errClosedEarly = errors.New("response body was closed before its end")

// newTrackedBody wraps the body. The end of the context counts as the end of the
// body, also while the body isn't read.
func newTrackedBody(ctx context.Context, body io.ReadCloser, onEnd func(error)) *trackedBody {
	b := &trackedBody{ReadCloser: body, onEnd: onEnd}
	b.stop = context.AfterFunc(ctx, func() { b.finish(ctx.Err()) })
	return b
}

// Read reads the response and reports its end at EOF or at the first error.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.stop()
	if errors.Is(err, io.EOF) {
		b.finish(nil)
	} else {
		b.finish(err)
	}
	return n, err
}

// Close closes the body and reports its end. If the response was not read to its
// end, the transport closes its connection.
func (b *trackedBody) Close() error {
	b.stop()
	err := b.ReadCloser.Close()
	b.finish(errClosedEarly)
	return err
}

func (b *trackedBody) finish(err error) {
	b.once.Do(func() { b.onEnd(err) })
}
