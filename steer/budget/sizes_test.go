package budget

import "testing"

func TestSizePredictorPredictsAHighQuantile(t *testing.T) {
	var s SizePredictor
	if got, want := s.Predict(), int64(defaultSize); got != want {
		t.Errorf("got %d without samples, want %d", got, want)
	}
	for i := range int64(10 * sampleCount) {
		s.Observe(100 + 900*(i%10/8))
	}
	if got, want := s.Predict(), int64(1000); got != want {
		t.Errorf("got %d when a fifth of the responses have 1000 bytes, want %d", got, want)
	}
}
