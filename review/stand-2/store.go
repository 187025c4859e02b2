package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: tables of rows in memory.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[string]storedRow
	changed chan struct{}
	began   time.Time
	// down makes all calls of hosts fail with status 503.
	down bool
}

type storedRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() *store {
	return &store{rows: make(map[string]storedRow), changed: make(chan struct{}), began: time.Now()}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// set writes a row, or removes it for a nil value.
func (s *store) set(table, key string, value any) {
	var b []byte
	if value != nil {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storedRow{Table: table, Key: key, Value: b, Ver: s.ver, Tombstone: value == nil})
}

func (s *store) apply(r storedRow) {
	s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table after the version, those that exist only unless all.
func (s *store) list(table, part string, anyPart bool, after int64, all bool) []storedRow {
	out := []storedRow{}
	for _, r := range s.rows {
		if r.Table == table && (anyPart || r.Part == part) && r.Ver > after && (all || !r.Tombstone) {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) answer(w http.ResponseWriter, rows []storedRow) {
	out := map[string]any{"rows": rows, "has_more": false, "ver": s.ver, "now_s": time.Since(s.began).Seconds()}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		rows := s.list(q.Get("table"), q.Get("part"), false, 0, false)
		kept := rows[:0]
		for _, x := range rows {
			if x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
				kept = append(kept, x)
			}
		}
		sort.Slice(kept, func(i, j int) bool { return kept[i].Key < kept[j].Key })
		s.answer(w, kept)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		rows := s.list(q.Get("table"), "", true, after, true)
		if len(rows) > 0 || over || s.down {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			if s.down {
				http.Error(w, "down", http.StatusServiceUnavailable)
				return
			}
			s.answer(w, rows)
			return
		}
		c := s.changed
		s.mu.Unlock()
		select {
		case <-c:
		case <-end:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Writes, Remove []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]storedRow{}, t.Writes...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not the system's", http.StatusForbidden)
			return
		}
	}
	for _, x := range t.Expected {
		held := s.rows[rowKey(x.Table, x.Part, x.Key)]
		if held.Tombstone {
			held.Ver = 0
		}
		if held.Ver != x.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, []storedRow{held})
			return
		}
	}
	s.ver++
	for _, x := range t.Writes {
		x.Ver, x.Tombstone = s.ver, false
		s.apply(x)
	}
	for _, x := range t.Remove {
		s.apply(storedRow{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Tombstone: true})
	}
	s.answer(w, []storedRow{})
}
