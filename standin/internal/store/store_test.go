package store

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/platform"
)

// open returns a client of a stand-in store, and a function that posts to the paths
// of the stand-in itself.
func open(t *testing.T) (*platform.Store, func(path, body string)) {
	t.Helper()
	s := httptest.NewServer(New().Handler())
	t.Cleanup(s.Close)
	return platform.NewStore(s.URL, platform.WithTimeout(2*time.Second)), func(path, body string) {
		t.Helper()
		res, err := http.Post(s.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusNoContent {
			t.Fatalf("%s: status %d", path, res.StatusCode)
		}
	}
}

func commit(t *testing.T, c *platform.Store, x plat.Txn) plat.Position {
	t.Helper()
	v, err := c.Commit(t.Context(), x)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestTable(t *testing.T) {
	c, _ := open(t)
	ctx := t.Context()
	if _, err := c.Get(ctx, "a"); !errors.Is(err, plat.ErrMissing) {
		t.Errorf("error = %v, want missing", err)
	}
	v := commit(t, c, plat.Txn{Checks: []plat.Check{{Key: "a"}}, Puts: []plat.Put{{Key: "a", Value: []byte("1")}}})
	row, err := c.Get(ctx, "a")
	if err != nil || string(row.Value) != "1" || row.At != v {
		t.Errorf("row = %+v, error = %v, want position %v", row, err, v)
	}
	if _, err := c.Commit(ctx, plat.Txn{Checks: []plat.Check{{Key: "a", At: plat.Position{Era: v.Era, Version: v.Version + 1}}}, Deletes: []string{"a"}}); !errors.Is(err, plat.ErrConflict) {
		t.Errorf("error = %v, want a conflict", err)
	}
	commit(t, c, plat.Txn{Checks: []plat.Check{{Key: "a", At: v}}, Deletes: []string{"a"}})
	if _, err := c.Get(ctx, "a"); !errors.Is(err, plat.ErrMissing) {
		t.Errorf("error = %v, want missing", err)
	}
}

func TestListOfSeveralPages(t *testing.T) {
	c, _ := open(t)
	const rows = 1100
	for i := 0; i < rows; i += 100 {
		var x plat.Txn
		for n := i; n < i+100; n++ {
			x.Puts = append(x.Puts, plat.Put{Key: fmt.Sprintf("p/%05d", n)})
		}
		commit(t, c, x)
	}
	commit(t, c, plat.Txn{Puts: []plat.Put{{Key: "o"}, {Key: "p"}, {Key: "p0"}}})
	got, err := c.List(t.Context(), "p/", "", 5000)
	if err != nil || len(got) != rows || got[0].Key != "p/00000" || got[rows-1].Key != "p/01099" {
		t.Errorf("%d rows, error %v, want %d in order", len(got), err, rows)
	}
	got, err = c.List(t.Context(), "p/", "p/00009", 3)
	if err != nil || len(got) != 3 || got[0].Key != "p/00010" {
		t.Errorf("rows = %v, error = %v, want three from p/00010", got, err)
	}
}

func TestFeed(t *testing.T) {
	c, post := open(t)
	ctx := t.Context()
	if _, err := c.Put(ctx, "t", "a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	rows, v, err := c.Rows(ctx, "t")
	if err != nil || len(rows) != 1 {
		t.Fatalf("rows = %v, error = %v", rows, err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		if _, err := c.Put(ctx, "t", "b", []byte("2")); err != nil {
			t.Error(err)
		}
	})
	rows, v, err = c.Changes(ctx, "t", v.Position, 5*time.Second)
	if err != nil || len(rows) != 1 || rows[0].Key != "b" {
		t.Errorf("rows = %v, error = %v, want b", rows, err)
	}
	if err := c.Delete(ctx, "t", "a", plat.Position{}); err != nil {
		t.Fatal(err)
	}
	rows, _, err = c.Changes(ctx, "t", v.Position, 0)
	if err != nil || len(rows) != 1 || !rows[0].Removed {
		t.Errorf("rows = %v, error = %v, want a removed", rows, err)
	}
	post("/standin/compact", "")
	if _, _, err := c.Changes(ctx, "t", v.Position, 0); !errors.Is(err, plat.ErrCompacted) {
		t.Errorf("error = %v, want compacted", err)
	}
	_, v, err = c.Rows(ctx, "t")
	if err != nil {
		t.Fatal(err)
	}
	if rows, _, err := c.Changes(ctx, "other", v.Position, 0); err != nil || len(rows) != 0 {
		t.Errorf("rows of another table = %v, error = %v, want none", rows, err)
	}
	v.Version += 10
	if rows, _, err := c.Changes(ctx, "t", v.Position, 0); !errors.Is(err, plat.ErrCompacted) {
		t.Errorf("changes after a version that the store doesn't have = %v, error = %v, want compacted", rows, err)
	}
}

func TestObjects(t *testing.T) {
	c, _ := open(t)
	if _, err := c.Load(t.Context(), "x/y"); !errors.Is(err, plat.ErrMissing) {
		t.Errorf("error = %v, want missing", err)
	}
	if err := c.Store(t.Context(), "x/y", []byte("data")); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Load(t.Context(), "x/y"); err != nil || string(got) != "data" {
		t.Errorf("object = %q, error = %v", got, err)
	}
}

func TestFaults(t *testing.T) {
	c, post := open(t)
	ctx := t.Context()
	post("/standin/fault", `{"down":true}`)
	if _, err := c.Get(ctx, "a"); !errors.Is(err, plat.ErrDown) {
		t.Errorf("error = %v, want down", err)
	}
	post("/standin/fault", `{"loseCommits":1}`)
	if _, err := c.Put(ctx, "t", "a", []byte("1")); !errors.Is(err, plat.ErrUnknown) {
		t.Errorf("error = %v, want unknown", err)
	}
	if rows, _, err := c.Rows(ctx, "t"); err != nil || len(rows) != 1 {
		t.Errorf("rows = %v, error = %v, want the write to have taken effect", rows, err)
	}
	post("/standin/fault", `{"callsPerS":1}`)
	refused := 0
	for range 5 {
		if _, _, err := c.Rows(ctx, "t"); errors.Is(err, plat.ErrDown) {
			refused++
		}
	}
	if refused < 3 {
		t.Errorf("%d of 5 calls refused, want at least 3 that exceed the rate", refused)
	}
}

func TestLostWriteTakesEffectLater(t *testing.T) {
	c, post := open(t)
	post("/standin/fault", `{"loseCommits":1,"lateMs":100}`)
	if _, err := c.Put(t.Context(), "op", "a", []byte("1")); !errors.Is(err, plat.ErrUnknown) {
		t.Fatalf("error = %v, want unknown", err)
	}
	rows, at, err := c.Rows(t.Context(), "op")
	if err != nil || len(rows) != 0 {
		t.Errorf("rows = %v, error = %v, want none yet", rows, err)
	}
	rows, _, err = c.Changes(t.Context(), "op", at.Position, 10*time.Second)
	if err != nil || len(rows) != 1 || rows[0].Key != "a" {
		t.Errorf("changes = %v, error = %v, want the late write", rows, err)
	}
}

func TestRefusedClients(t *testing.T) {
	c, post := open(t)
	for _, status := range []int{503, 429, 0} {
		post("/standin/fault", fmt.Sprintf(`{"turnAway":{"127.0.0.1":%d}}`, status))
		if _, _, err := c.Rows(t.Context(), "op"); !errors.Is(err, plat.ErrDown) {
			t.Errorf("status %d: error = %v, want down", status, err)
		}
	}
	post("/standin/fault", `{"turnAway":{"127.0.0.2":503}}`)
	if _, _, err := c.Rows(t.Context(), "op"); err != nil {
		t.Errorf("calls of a client that isn't listed: error = %v, want none", err)
	}
}

// A restored store tells its era in each response, refusals too, gives versions out again
// and doesn't have the changes since a version that it has lost.
func TestRestore(t *testing.T) {
	c, post := open(t)
	commit(t, c, plat.Txn{Puts: []plat.Put{{Key: "a", Value: []byte("1")}}})
	post("/standin/save", "")
	lost := commit(t, c, plat.Txn{Puts: []plat.Put{{Key: "a", Value: []byte("2")}}})
	post("/standin/restore", "")
	if _, _, err := c.Changes(t.Context(), "t", lost, 0); !errors.Is(err, plat.ErrCompacted) {
		t.Errorf("changes after a lost version: error = %v, want compacted", err)
	}
	row, err := c.Get(t.Context(), "a")
	if err != nil || string(row.Value) != "1" || !lost.Before(row.At) {
		t.Errorf("row = %+v, error = %v, want the one of the copy, after %v", row, err, lost)
	}
	again := commit(t, c, plat.Txn{Puts: []plat.Put{{Key: "b"}}})
	if again.Version != lost.Version || again.Era != lost.Era+1 {
		t.Errorf("position = %v, want version %d again in the next era", again, lost.Version)
	}
	// The row that has the lost version now isn't the one of the check.
	if _, err := c.Commit(t.Context(), plat.Txn{Checks: []plat.Check{{Key: "b", At: lost}}, Deletes: []string{"b"}}); !errors.Is(err, plat.ErrConflict) {
		t.Errorf("commit with a check of the older era: error = %v, want a conflict", err)
	}
	post("/standin/fault", `{"callsPerS":1}`)
	post("/standin/restore", "")
	for range 3 {
		// Only the era of the refusals tells.
		_, _, err = c.Rows(t.Context(), "t")
	}
	if !errors.Is(err, plat.ErrDown) {
		t.Fatalf("error = %v, want a refusal", err)
	}
	if _, _, err := c.Changes(t.Context(), "t", again, 0); !errors.Is(err, plat.ErrCompacted) {
		t.Errorf("changes since an older era while the store refuses calls: error = %v, want compacted", err)
	}
}

// As in the platform's store, versions and values must not be left out.
func TestIncompleteTransactions(t *testing.T) {
	u := httptest.NewServer(New().Handler())
	t.Cleanup(u.Close)
	for _, c := range []struct {
		body string
		want int
	}{
		{`{"expected":[{"table":"t","part":"","key":"k"}],"writes":[],"remove":[]}`, http.StatusBadRequest},
		{`{"expected":[],"writes":[{"table":"t","part":"","key":"k"}],"remove":[]}`, http.StatusBadRequest},
		{`{"expected":[],"writes":[{"part":"","key":"k","value":"eA=="}],"remove":[]}`, http.StatusBadRequest},
		{`{"expected":[{"table":"t","part":"","key":"k","ver":0}],"writes":[{"table":"t","part":"","key":"k","value":""}],"remove":[]}`, http.StatusOK},
	} {
		res, err := http.Post(u.URL+"/api/rows-tx", "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if got := res.StatusCode; got != c.want {
			t.Errorf("%s: got status %d, want %d", c.body, got, c.want)
		}
	}
}
