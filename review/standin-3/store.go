package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: rows-get, rows-feed and rows-tx.
type store struct {
	mu      sync.Mutex
	rows    map[string]*row
	ver     int64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]*row), changed: make(chan struct{}), start: time.Now()}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey(table, "", key)] = &row{Table: table, Key: key, Value: value, Ver: s.ver}
	s.wake()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[rowKey(table, "", key)]; r != nil && !r.Tombstone {
		s.ver++
		s.rows[rowKey(table, "", key)] = &row{Table: table, Key: key, Ver: s.ver, Tombstone: true}
		s.wake()
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() float64 { return time.Since(s.start).Seconds() }

func (s *store) serve(addr string) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/rows-get", s.get)
	m.HandleFunc("GET /api/rows-feed", s.feed)
	m.HandleFunc("POST /api/rows-tx", s.transact)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, m) }()
	return nil
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	out := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Tombstone && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, *x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "ver": ver, "now_s": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				out = append(out, *x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now_s": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now_s": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Table, Part, Key string
		Ver              int64
		Value            []byte
	}
	var in struct{ Expected, Writes, Remove []entry }
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "not a transaction"})
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, e := range in.Expected {
		var ver int64
		if x := s.rows[rowKey(e.Table, e.Part, e.Key)]; x != nil && !x.Tombstone {
			ver = x.Ver
			current = append(current, *x)
		}
		conflict = conflict || ver != e.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_s": s.now()})
		return
	}
	s.ver++
	for _, e := range in.Writes {
		s.rows[rowKey(e.Table, e.Part, e.Key)] = &row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver}
	}
	for _, e := range in.Remove {
		s.rows[rowKey(e.Table, e.Part, e.Key)] = &row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Tombstone: true}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_s": s.now()})
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
