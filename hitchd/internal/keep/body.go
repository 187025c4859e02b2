package keep

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// endingBody is an answer's body that tells its end once: a whole answer, a cut
// one, or a caller that went away.
type endingBody struct {
	io.ReadCloser
	stop func() bool
	once sync.Once
	// end gets nil for a whole answer. It runs before the reader sees the error.
	end func(error)
}

// errAbandoned reports an answer that was closed before its end.
var errAbandoned = errors.New("answer was closed before its end")

// newEndingBody closes the body when the context ends.
func newEndingBody(ctx context.Context, body io.ReadCloser, end func(error)) *endingBody {
	b := &endingBody{ReadCloser: body, end: end}
	b.stop = context.AfterFunc(ctx, func() { b.finish(ctx.Err()) })
	return b
}

// Read reads the answer and ends it at its last byte.
func (b *endingBody) Read(p []byte) (int, error) {
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

// Close ends the answer. The connection of an unread one is closed with it.
func (b *endingBody) Close() error {
	b.stop()
	err := b.ReadCloser.Close()
	b.finish(errAbandoned)
	return err
}

func (b *endingBody) finish(err error) {
	b.once.Do(func() { b.end(err) })
}
