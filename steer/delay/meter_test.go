package delay

import (
	"testing"
	"time"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// record records delays in milliseconds at the times in milliseconds.
func record(m *Meter, pairs ...[2]int) {
	for _, p := range pairs {
		m.Record(at(p[0]), time.Duration(p[1])*time.Millisecond)
	}
}

func TestWorst(t *testing.T) {
	var m Meter
	if got := m.Worst(at(100), at(0)); got != 0 {
		t.Errorf("worst = %v before any sample, want 0", got)
	}
	record(&m, [2]int{100, 900}, [2]int{200, 5}, [2]int{300, 80}, [2]int{400, 10})
	for from, want := range map[int]time.Duration{0: 900 * time.Millisecond, 100: 80 * time.Millisecond, 300: 10 * time.Millisecond, 400: 0} {
		if got := m.Worst(at(500), at(from)); got != want {
			t.Errorf("worst since %d ms = %v, want %v", from, got, want)
		}
	}
}

// A step that hasn't run yet is late too.
func TestWaitingStep(t *testing.T) {
	var m Meter
	if !m.Begin(at(0)) || m.Begin(at(50)) {
		t.Error("a second step began beside the first")
	}
	if got, want := m.Worst(at(400), at(300)), 400*time.Millisecond; got != want {
		t.Errorf("worst = %v, want %v", got, want)
	}
	if got := m.Standing(at(100)); got != 0 {
		t.Errorf("standing delay = %v after 100 ms, want 0: a slice of the processor may come", got)
	}
	if got, want := m.Standing(at(400)), 400*time.Millisecond; got != want {
		t.Errorf("standing delay = %v, want %v", got, want)
	}
	m.End(at(450))
	if got, want := m.Standing(at(500)), 450*time.Millisecond; got != want {
		t.Errorf("standing delay = %v after the step ran, want %v", got, want)
	}
	if got := m.Worst(at(500), at(450)); got != 0 {
		t.Errorf("worst = %v since the step ran, want 0", got)
	}
}

// A processor that is granted in slices delays the first steps of each slice. That is no
// overload, other than a queue that each step waits in.
func TestStandingDelay(t *testing.T) {
	var slices, queue Meter
	for ms := 0; ms < 1000; ms += 100 {
		record(&slices, [2]int{ms + 90, 90}, [2]int{ms + 95, 1}, [2]int{ms + 99, 0})
		record(&queue, [2]int{ms + 30, 70}, [2]int{ms + 60, 60}, [2]int{ms + 99, 90})
	}
	if got := slices.Standing(at(1000)); got != 0 {
		t.Errorf("standing delay = %v with a processor in slices, want 0", got)
	}
	if got, want := queue.Standing(at(1000)), 60*time.Millisecond; got != want {
		t.Errorf("standing delay = %v, want %v", got, want)
	}
	if got := queue.Standing(at(3000)); got != 0 {
		t.Errorf("standing delay = %v two seconds later, want 0", got)
	}
}

func TestConclusive(t *testing.T) {
	var m Meter
	record(&m, [2]int{100, 60})
	if !Conclusive(&m, at(350), at(0)) {
		t.Error("350 ms with steps 60 ms late tell nothing, want them to")
	}
	record(&m, [2]int{200, 90})
	if Conclusive(&m, at(350), at(0)) {
		t.Error("350 ms with steps 90 ms late tell something, want nothing")
	}
}

func TestMeterIsBounded(t *testing.T) {
	var m Meter
	for i := range 10 * maxSamples {
		m.Record(at(i), time.Duration(i))
	}
	if got := len(m.samples); got > maxSamples {
		t.Errorf("%d samples, want %d at most", got, maxSamples)
	}
	if got, want := m.Worst(at(0), at(10*maxSamples-10)), time.Duration(10*maxSamples-1); got != want {
		t.Errorf("worst = %v, want the latest, %v", got, want)
	}
}
