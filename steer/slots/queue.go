package slots

import (
	"time"

	"magnoliahitch/steer/config"
)

// Indexes of the classes by descending priority outside the reserve; classCount is
// their number.
const (
	interactive = iota
	booking
	bulk
	classCount
)

// classOf returns the index of the class; an unknown class counts as interactive.
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
	queuedAt   time.Time
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

// queue holds the queued requests of a cell in one FIFO list for each class.
type queue struct {
	byClass [classCount]fifo
	byID    map[uint64]*waiter
	// constrained is the number of waiters that can't use every server.
	constrained int
	// free is a linked list of waiters for reuse.
	free *waiter
}

func (q *queue) add(now time.Time, r Request) {
	w := q.free
	if w == nil {
		w = &waiter{}
	} else {
		q.free = w.next
	}
	*w = waiter{request: r, class: classOf(r.Class), queuedAt: now}
	q.byClass[w.class].push(w)
	q.byID[r.ID] = w
	if r.constrained() {
		q.constrained++
	}
}

// drop removes the waiter and returns a copy of it, as the waiter is reused.
func (q *queue) drop(w *waiter) waiter {
	q.byClass[w.class].remove(w)
	delete(q.byID, w.request.ID)
	if w.request.constrained() {
		q.constrained--
	}
	was := *w
	*w = waiter{next: q.free}
	q.free = w
	return was
}

func (q *queue) size() int { return len(q.byID) }
