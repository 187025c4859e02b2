package peer

import (
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// Message returns a handler that decodes a message of type I, calls f and
// encodes its answer.
func Message[I, O any](f func(r *http.Request, in I) (O, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
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
