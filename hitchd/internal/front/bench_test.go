package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkLookupAnswer answers a look-up from the handler on, without the
// connection.
func BenchmarkLookupAnswer(b *testing.B) {
	handler := testFront(answerWith("")).Server().Handler
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lookup/stock", nil))
			if w.Code != http.StatusOK {
				b.Errorf("got status %d, want %d", w.Code, http.StatusOK)
			}
		}
	})
}
