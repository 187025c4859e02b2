package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/watch"
)

// packedLife is how long an encoded copy is used for further polls. Its age is added
// to that of the tables.
const packedLife = 500 * time.Millisecond

// packer encodes and compresses complete copies of the tables once for all hosts that
// poll at about the same time. After a restart of all hosts, each host of a domain
// needs the complete tables from the same source at once, over a link that would
// take seconds for as many plain copies.
type packer struct {
	mu       sync.Mutex
	versions watch.Versions
	at       time.Time
	data     []byte
}

// pack returns the encoded copy of the operator's and the servers' table, and its age.
// The function returns the changes since the versions.
func (p *packer) pack(now time.Time, current watch.Versions, since func(watch.Versions) watch.Update) ([]byte, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current.Hosts = 0
	if p.data != nil && p.versions == current && now.Sub(p.at) < packedLife {
		return p.data, now.Sub(p.at), nil
	}
	u := since(watch.Versions{})
	u.Hosts = watch.TableUpdate{}
	data, err := msgpack.Marshal(u)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode copy")
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, 0, errors.Wrap(err, "compress copy")
	}
	if _, err := w.Write(data); err != nil {
		return nil, 0, errors.Wrap(err, "compress copy")
	}
	if err := w.Close(); err != nil {
		return nil, 0, errors.Wrap(err, "compress copy")
	}
	p.versions = watch.Versions{Operator: u.Operator.Version, Servers: u.Servers.Version}
	p.at, p.data = now, b.Bytes()
	return p.data, 0, nil
}

// unpack decodes a copy.
func unpack(data []byte) (watch.Update, error) {
	var u watch.Update
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return u, errors.Wrap(err, "decompress copy")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxResponse+1))
	if err != nil {
		return u, errors.Wrap(err, "decompress copy")
	}
	if len(plain) > maxResponse {
		return u, errors.Errorf("decompress copy: more than %d bytes", maxResponse)
	}
	if err := msgpack.Unmarshal(plain, &u); err != nil {
		return u, errors.Wrap(err, "decode copy")
	}
	return u, nil
}
