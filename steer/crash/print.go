package crash

import "github.com/cespare/xxhash/v2"

// Print is the fingerprint of a request, a 64-bit hash.
type Print uint64

// Fingerprint returns the fingerprint of a request. body is the content of its body
// or, where that is too long to buffer, its operation id.
func Fingerprint(service, method, target string, body []byte) Print {
	d := xxhash.New()
	for _, s := range [...]string{service, method, target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Print(d.Sum64())
}
