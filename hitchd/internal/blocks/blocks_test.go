package blocks

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/mem"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

type fakeView struct{ config *config.Config }

func (v *fakeView) Config() *config.Config { return v.config }

func (v *fakeView) use(digest string) {
	v.config = &config.Config{Profiles: config.Set[config.Profile]{"calm": {Name: "calm", BlockTable: digest}}}
}

// compress returns the text compressed with gzip.
func compress(t *testing.T, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// put stores a table with the text and returns the digest of its object.
func put(t *testing.T, s *mem.Store, text string) string {
	t.Helper()
	data := compress(t, text)
	sum := sha256.Sum256(data)
	digest := hex.EncodeToString(sum[:])
	if err := s.Store(t.Context(), prefix+digest, data); err != nil {
		t.Fatal(err)
	}
	return digest
}

// regionOf returns the region that the table gives 10.1.2.3, or "" for no table.
func regionOf(b *place.SiteTable) string {
	if b == nil {
		return ""
	}
	s, _ := b.Find(netip.MustParseAddr("10.1.2.3"))
	return s.Region
}

func TestTablesFollowTheConfiguration(t *testing.T) {
	store, view := mem.New(), &fakeView{}
	b := New(store, view, hclog.NewNullLogger())
	first := put(t, store, "site,salto,litoral\nblock,10.1.0.0/16,salto\n")
	second := put(t, store, "site,rivera,norte\nblock,10.1.0.0/16,rivera\n")
	bad := strings.Repeat("0", 64)
	if err := store.Store(t.Context(), prefix+bad, compress(t, "site,a,b\n")); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		name, digest string
		fault        mem.Fault
		want, err    string
	}{
		{"first", first, mem.Fault{}, "litoral", ""},
		{"store down", second, mem.Fault{Down: true}, "litoral", "down"},
		{"store available again", second, mem.Fault{}, "norte", ""},
		{"wrong digest", bad, mem.Fault{}, "norte", "its digest is"},
		{"missing", strings.Repeat("1", 64), mem.Fault{}, "norte", "missing"},
		{"none", "", mem.Fault{}, "", ""},
	} {
		view.use(s.digest)
		store.SetFault(s.fault)
		err := b.Update(context.Background())
		if got := regionOf(b.For("calm")); got != s.want {
			t.Errorf("%s: got region %q, want %q", s.name, got, s.want)
		}
		if (err == nil) != (s.err == "") || err != nil && !strings.Contains(err.Error(), s.err) {
			t.Errorf("%s: got error %v, want one with %q", s.name, err, s.err)
		}
	}
}

func TestDecodeNamesTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"site,a,b\nblock,10.0.0.0/33,a\n": "line 2: read prefix",
		"site,a,b\nblock,10.0.0.0/8,c\n":  "line 2: add block",
		"city,a,b\n":                      "line 1: unknown kind",
		"site,a\n":                        "line 1: wrong number of fields",
	} {
		_, err := Decode(compress(t, text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", text, err, want)
		}
	}
	if _, err := Decode([]byte("plain")); err == nil {
		t.Error("uncompressed text: got no error, want one")
	}
}
