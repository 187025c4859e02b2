package claims

import (
	"fmt"
	"testing"
	"time"

	"magnoliahitch/steer/claim"
)

func TestEndedOperationsAreBoundedInBytes(t *testing.T) {
	r := newRegistry()
	var last *operation
	for i := range 20_000 {
		last = &operation{key: fmt.Sprint("op-", i), id: fmt.Sprint(i), done: make(chan struct{})}
		r.start(time.Now(), last)
		r.end(last, claim.Done, &claim.Response{Body: make([]byte, maxKeptBody)})
	}
	held := 0
	for i := range r.shards {
		for _, o := range r.shards[i].ended {
			held += len(o.response.Body)
		}
	}
	if got, want := held, shards*maxEndedBytes; got > want {
		t.Errorf("got %d bytes of stored responses, want at most %d", got, want)
	}
	if r.find(last.key, last.id) == nil {
		t.Error("got no operation with the last id, want it in the registry")
	}
}
