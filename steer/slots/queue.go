package slots

import (
	"time"

	"magnoliahitch/steer/config"
)

// Indexes of the classes, in the order in which they are served.
const (
	interactive = iota
	booking
	bulk
	classes
)

func classOf(c config.Class) int {
	switch c {
	case config.ClassBooking:
		return booking
	case config.ClassBulk:
		return bulk
	}
	return interactive
}

// waiter is a queued request.
type waiter struct {
	request    Request
	class      int
	since      time.Time
	prev, next *waiter
}

// fifo is a linked list of waiters, oldest first.
type fifo struct {
	head, tail *waiter
	size       int
}

func (q *fifo) push(w *waiter) {
	w.prev = q.tail
	if q.tail == nil {
		q.head = w
	} else {
		q.tail.next = w
	}
	q.tail = w
	q.size++
}

func (q *fifo) remove(w *waiter) {
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.size--
}

// lines is the queue of a cell: one line for each class.
type lines struct {
	line [classes]fifo
	byID map[uint64]*waiter
	// picky counts the waiters that may not use just any server.
	picky int
	// free lists waiters to be used again.
	free *waiter
}

func (l *lines) add(now time.Time, r Request) {
	w := l.free
	if w == nil {
		w = &waiter{}
	} else {
		l.free = w.next
	}
	*w = waiter{request: r, class: classOf(r.Class), since: now}
	l.line[w.class].push(w)
	l.byID[r.ID] = w
	if r.picky() {
		l.picky++
	}
}

// drop takes the waiter out and returns what it was.
func (l *lines) drop(w *waiter) waiter {
	l.line[w.class].remove(w)
	delete(l.byID, w.request.ID)
	if w.request.picky() {
		l.picky--
	}
	was := *w
	*w = waiter{next: l.free}
	l.free = w
	return was
}

func (l *lines) size() int { return len(l.byID) }
