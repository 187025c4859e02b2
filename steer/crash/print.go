package crash

import "github.com/cespare/xxhash/v2"

// Print is a fingerprint of a request.
type Print uint64

// Fingerprint returns the print of a request. Body is the body's content or,
// where that is too long to hold, its operation id.
func Fingerprint(service, method, target string, body []byte) Print {
	d := xxhash.New()
	for _, s := range [...]string{service, method, target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Print(d.Sum64())
}
