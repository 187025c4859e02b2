package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkLookupResponse measures the handler of a lookup, without the
// connection.
func BenchmarkLookupResponse(b *testing.B) {
	handler := testFront(respondWith("")).Server().Handler
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
