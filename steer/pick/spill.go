package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the share that runs abroad.
const (
	// spillRate is how fast the share may change, a second. Users allow 0.15 in
	// two seconds, of which a part is left for excursions and chance.
	spillRate = 0.04
	// fillTarget is the use of the home servers' slots that the share aims at.
	// Above it, requests of objects that share a server queue.
	fillTarget = 0.7
	// fillWeight is the weight of a second's use against the earlier ones.
	fillWeight = 0.7
	// firstDamping is the part of the imbalance between regions that the share
	// starts with, as callers may be few.
	firstDamping = 0.5
	// maxSpill keeps some of each service's requests at home.
	maxSpill = 0.9
	// excursionShare is the part of the requests of the last two seconds that
	// may leave their group for a much shorter wait.
	excursionShare = 0.06
	// excursionGain is what an excursion must save.
	excursionGain = 120 * time.Millisecond
	// soundShare is the part of the home servers that must be in use for the
	// pace to hold; below it a failure moves requests, which isn't paced.
	soundShare = 0.8
)

// Windows of the count of excursions.
const (
	excursionBucket  = 250 * time.Millisecond
	excursionBuckets = 8
)

// spill decides which share of a service's requests runs abroad. Load pattern:
// a region whose callers need more than its servers have, in slow waves. The
// share follows the need at a bounded rate, and objects move one by one, in
// the order of their hashes, so that the others stay on their servers.
type spill struct {
	share float64
	// fill is the smoothed use of the home servers' slots.
	fill  float64
	last  time.Time
	count window
}

// start sets the first share from the slots at home, those of all regions and
// the number of regions, as if each region's callers needed the same.
func (s *spill) start(now time.Time, home, all float64, regions int) {
	if all > 0 && regions > 1 {
		s.share = min(maxSpill, firstDamping*max(0, 1-home/all*float64(regions)))
	}
	s.fill = fillTarget
	s.last = now
}

// update lets the share follow the use of the home servers' slots.
func (s *spill) update(now time.Time, fill float64) {
	passed := now.Sub(s.last).Seconds()
	if passed <= 0 {
		return
	}
	s.last = now
	s.fill += min(1, fillWeight*passed) * (fill - s.fill)
	need := s.fill / max(0.05, 1-s.share)
	want := 0.0
	if need > fillTarget {
		want = min(maxSpill, 1-fillTarget/need)
	}
	step := spillRate * min(1, passed)
	s.share += max(-step, min(step, want-s.share))
}

// abroad reports whether the object belongs to the share that runs abroad.
func (s *spill) abroad(object string) bool {
	return float64(xxhash.Sum64String("spill\x00"+object)>>11)/(1<<53) < s.share
}

// window counts requests and excursions of the last two seconds.
type window struct {
	total, away [excursionBuckets]int
	current     int64
}

func (w *window) advance(now time.Time) {
	n := now.UnixNano() / int64(excursionBucket)
	for i := max(w.current+1, n-excursionBuckets+1); i <= n; i++ {
		w.total[i%excursionBuckets], w.away[i%excursionBuckets] = 0, 0
	}
	w.current = max(w.current, n)
}

// allow reports whether one more excursion is within the share.
func (w *window) allow(now time.Time) bool {
	w.advance(now)
	total, away := 0, 0
	for i := range w.total {
		total += w.total[i]
		away += w.away[i]
	}
	return float64(away+1) <= excursionShare*float64(total)
}

// add counts a request.
func (w *window) add(now time.Time, away bool) {
	w.advance(now)
	w.total[w.current%excursionBuckets]++
	if away {
		w.away[w.current%excursionBuckets]++
	}
}
