package place

import "unsafe"

// indexBits is the number of leading address bits by which the index narrows the
// search.
const indexBits = 16

// ranges maps addresses to sites: the addresses from starts[i] up to the next
// start belong to sites[i].
type ranges[A address] struct {
	starts []A
	sites  []uint16
	// index holds, for each value of the leading bits, the position of the first
	// start with these or higher leading bits. Its last element is the number
	// of starts.
	index []uint32
}

// leadingShift returns the right shift that leaves the leading bits of an address.
func leadingShift[A address]() int { return int(unsafe.Sizeof(A(0)))*8 - indexBits }

// find returns the site of the address, or noSite.
func (r *ranges[A]) find(a A) uint16 {
	if len(r.index) == 0 {
		return noSite
	}
	lead := a >> leadingShift[A]()
	low, high := r.index[lead], r.index[lead+1]
	for low < high {
		middle := (low + high) / 2
		if r.starts[middle] <= a {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return noSite
	}
	return r.sites[low-1]
}

// flatten converts sorted blocks, which may be nested, into ranges.
func flatten[A address](list []span[A]) ranges[A] {
	if len(list) == 0 {
		return ranges[A]{}
	}
	n := 0
	emitRanges(list, func(A, uint16) { n++ })
	r := ranges[A]{starts: make([]A, 0, n), sites: make([]uint16, 0, n)}
	emitRanges(list, func(start A, site uint16) {
		r.starts = append(r.starts, start)
		r.sites = append(r.sites, site)
	})
	r.index = make([]uint32, 1<<indexBits+1)
	next := 0
	for lead := range r.index {
		for next < n && int(r.starts[next]>>leadingShift[A]()) < lead {
			next++
		}
		r.index[lead] = uint32(next)
	}
	return r
}

// emitRanges calls emit with the start and the site of each range, in order.
func emitRanges[A address](list []span[A], emit func(A, uint16)) {
	m := merger[A]{emit: emit}
	var open []span[A]
	// closeInnermost closes the innermost open block. It reports false if the
	// block ends at the last address, so that no range follows.
	closeInnermost := func() bool {
		end := open[len(open)-1].last()
		open = open[:len(open)-1]
		if end == ^A(0) {
			return false
		}
		site := uint16(noSite)
		if len(open) > 0 {
			site = open[len(open)-1].site
		}
		m.add(end+1, site)
		return true
	}
	for _, s := range list {
		for len(open) > 0 && open[len(open)-1].last() < s.start {
			closeInnermost()
		}
		m.add(s.start, s.site)
		open = append(open, s)
	}
	for hasNext := true; hasNext && len(open) > 0; {
		hasNext = closeInnermost()
	}
	m.flush()
}

// merger emits ranges, except those that are empty or have the same site as the
// previous range.
type merger[A address] struct {
	emit     func(A, uint16)
	start    A
	site     uint16
	pending  bool
	lastSite uint16
}

func (m *merger[A]) add(start A, site uint16) {
	if m.pending && m.start != start {
		m.flush()
	}
	m.start, m.site, m.pending = start, site, true
}

func (m *merger[A]) flush() {
	if m.pending && m.site != m.lastSite {
		m.emit(m.start, m.site)
		m.lastSite = m.site
	}
	m.pending = false
}
