package crash

import "github.com/cespare/xxhash/v2"

// Fingerprint is the fingerprint of a request, a 64-bit hash.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. body is the content of its body
// or, where that is too long to buffer, its operation id.
func FingerprintOf(service, method, target string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range [...]string{service, method, target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
