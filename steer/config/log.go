package config

// Log holds the latest entries of a history. It is immutable. The zero value is
// the log of the empty configuration.
type Log struct {
	base    Position
	entries []Entry
	bytes   int
}

// NewLog returns an empty log whose first entry will follow the position.
func NewLog(base Position) Log { return Log{base: base} }

// Bounds of a log.
const (
	// MaxLogEntries is the maximum number of entries in a log.
	MaxLogEntries = 1024
	// MaxLogBytes is the maximum total size of the encoded entries in a log, in bytes.
	MaxLogBytes = 8 << 20
)

// With returns the log with the entry appended. It discards the oldest entries
// until the log is within its bounds.
func (l Log) With(e Entry) Log {
	out := Log{base: l.base, bytes: l.bytes + len(e.Raw)}
	out.entries = append(l.entries[:len(l.entries):len(l.entries)], e)
	for len(out.entries) > MaxLogEntries || out.bytes > MaxLogBytes {
		first := out.entries[0]
		out.base, out.entries, out.bytes = first.Position(), out.entries[1:], out.bytes-len(first.Raw)
	}
	return out
}

// Base returns the position that the first entry follows.
func (l Log) Base() Position { return l.base }

// End returns the position of the last entry, or the base of an empty log.
func (l Log) End() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Position()
}

// At returns the entry of the revision. It reports whether the log holds it.
func (l Log) At(revision uint64) (Entry, bool) {
	if revision <= l.base.Revision || revision > l.base.Revision+uint64(len(l.entries)) {
		return Entry{}, false
	}
	return l.entries[revision-l.base.Revision-1], true
}

// DigestAt returns the digest of the history at the revision. It reports whether the
// revision is within the log, from its base to its end.
func (l Log) DigestAt(revision uint64) (string, bool) {
	if revision == l.base.Revision {
		return l.base.Digest, true
	}
	e, ok := l.At(revision)
	if !ok {
		return "", false
	}
	return e.Position().Digest, true
}

// After returns the entries that follow the revision, oldest first. The result
// is cut to limit bytes of encoded entries but holds at least the first entry.
// After reports whether the revision is within the log, from its base to its end.
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

// ByWriteID returns the newest entry with the write id. It reports whether there
// is one.
func (l Log) ByWriteID(id string) (Entry, bool) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Change.WriteID == id {
			return l.entries[i], true
		}
	}
	return Entry{}, false
}

// Tail returns the newest entries, oldest first, that together take at most limit
// bytes in encoded form.
func (l Log) Tail(limit int) []Entry {
	first, size := len(l.entries), 0
	for first > 0 && size+len(l.entries[first-1].Raw) <= limit {
		first--
		size += len(l.entries[first].Raw)
	}
	return l.entries[first:]
}
