package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as in the platform's responses.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md). It keeps its whole
// history and answers each call after a few milliseconds.
type store struct {
	mu      sync.Mutex
	start   time.Time
	ver     int64
	rows    map[string]row
	changed chan struct{}
}

const storeDelay = 4 * time.Millisecond

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func startStore(addr string) (*store, error) {
	s := &store{start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/rows-tx", s.transact)
	m.HandleFunc("GET /api/rows-get", s.get)
	m.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(l, m) }()
	return s, nil
}

// put writes a row as the operator or a server does, and returns when the store has
// accepted it.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: data, Ver: s.ver})
	return time.Now()
}

func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	return time.Now()
}

// write stores the row and wakes the waiting feeds. The lock is held.
func (s *store) write(r row) {
	s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

type answer struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Ver     int64   `json:"ver"`
	NowS    float64 `json:"now_s"`
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	s.mu.Lock()
	a := answer{Rows: rows, HasMore: more, Ver: s.ver, NowS: time.Since(s.start).Seconds()}
	s.mu.Unlock()
	s.send(w, status, a)
}

func (s *store) send(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, x := range append(slices.Clone(t.Writes), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	for _, e := range t.Expected {
		held := s.rows[rowKey(e.Table, e.Part, e.Key)]
		if held.Tombstone {
			held = row{}
		}
		if held.Ver != e.Ver {
			s.mu.Unlock()
			s.respond(w, http.StatusPreconditionFailed, []row{held}, false)
			return
		}
	}
	s.ver++
	a := answer{Ver: s.ver}
	for _, x := range t.Writes {
		x.Ver = s.ver
		s.write(x)
	}
	for _, x := range t.Remove {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Tombstone: true})
	}
	a.NowS = time.Since(s.start).Seconds()
	s.mu.Unlock()
	s.send(w, http.StatusOK, a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Tombstone && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > limit
	out = out[:min(len(out), limit)]
	a := answer{Rows: out, HasMore: more, Ver: s.ver, NowS: time.Since(s.start).Seconds()}
	s.mu.Unlock()
	s.send(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		var out []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				out = append(out, x)
			}
		}
		slices.SortFunc(out, func(a, b row) int { return int(a.Ver - b.Ver) })
		a := answer{Rows: out, Ver: s.ver, NowS: time.Since(s.start).Seconds()}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.send(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			s.respond(w, http.StatusOK, nil, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}
