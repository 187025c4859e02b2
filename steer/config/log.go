package config

// Log holds the last entries of a history. It is immutable, and its zero
// value is the log of the empty configuration.
type Log struct {
	base    Mark
	entries []Entry
	bytes   int
}

// NewLog returns a log without entries that begins at the mark.
func NewLog(base Mark) Log { return Log{base: base} }

// Bounds of a log.
const (
	// MaxLogEntries is the number of entries that a log keeps.
	MaxLogEntries = 1024
	// MaxLogBytes bounds the encoded entries of a log, in bytes.
	MaxLogBytes = 8 << 20
)

// With returns the log with the entry at its end and without the oldest
// entries beyond the bounds.
func (l Log) With(e Entry) Log {
	out := Log{base: l.base, bytes: l.bytes + len(e.Raw)}
	out.entries = append(l.entries[:len(l.entries):len(l.entries)], e)
	for len(out.entries) > MaxLogEntries || out.bytes > MaxLogBytes {
		first := out.entries[0]
		out.base, out.entries, out.bytes = first.Mark(), out.entries[1:], out.bytes-len(first.Raw)
	}
	return out
}

// Base returns the mark after which the log holds every entry.
func (l Log) Base() Mark { return l.base }

// End returns the mark of the last entry.
func (l Log) End() Mark {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Mark()
}

// At returns the entry that made the revision.
func (l Log) At(revision uint64) (Entry, bool) {
	if revision <= l.base.Revision || revision > l.base.Revision+uint64(len(l.entries)) {
		return Entry{}, false
	}
	return l.entries[revision-l.base.Revision-1], true
}

// DigestAt returns the digest of the history at the revision.
func (l Log) DigestAt(revision uint64) (string, bool) {
	if revision == l.base.Revision {
		return l.base.Digest, true
	}
	e, ok := l.At(revision)
	if !ok {
		return "", false
	}
	return e.Mark().Digest, true
}

// After returns the entries that follow the revision, oldest first and at
// most limit bytes unless the first is larger. It reports whether the log
// reaches back to the revision.
func (l Log) After(revision uint64, limit int) ([]Entry, bool) {
	if revision < l.base.Revision || revision > l.End().Revision {
		return nil, false
	}
	rest := l.entries[revision-l.base.Revision:]
	size := 0
	for i, e := range rest {
		size += len(e.Raw)
		if size > limit && i > 0 {
			return rest[:i], true
		}
	}
	return rest, true
}

// ByWriteID returns the entry of the write, the newest first.
func (l Log) ByWriteID(id string) (Entry, bool) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Change.WriteID == id {
			return l.entries[i], true
		}
	}
	return Entry{}, false
}

// Tail returns the last entries, oldest first and at most limit bytes.
func (l Log) Tail(limit int) []Entry {
	first, size := len(l.entries), 0
	for first > 0 && size+len(l.entries[first-1].Raw) <= limit {
		first--
		size += len(l.entries[first].Raw)
	}
	return l.entries[first:]
}
