package peer

import (
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// MessageHandler returns a handler that decodes a message of type I, calls f and
// encodes its result as the response. The status is 400 for a message that
// can't be read or decoded, 409 for an error of f and 500 for a result that
// can't be encoded; the response then holds the error's text.
func MessageHandler[I, O any](f func(r *http.Request, in I) (O, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageSize))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var in I
		if err := msgpack.Unmarshal(data, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r, in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		data, err = msgpack.Marshal(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	})
}
