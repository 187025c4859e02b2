package trace

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// pallRegions are the regions of the small pall deployment.
var pallRegions = []string{"montevideo", "litoral", "norte"}

// pallLoads is the load of a busy evening on the small pall deployment. Each
// service has two servers with three slots in each region; the mean utilisation of
// the slots stays below a quarter.
var pallLoads = []Load{
	{Service: "inventory", Rate: 20, MeanCost: 15 * time.Millisecond, Size: 4 << 10, Deadline: 3 * time.Second},
	{Service: "reservations", Rate: 6, WriteShare: 0.5, MeanCost: 25 * time.Millisecond, Size: 1 << 10, Deadline: 5 * time.Second},
	{Service: "care", Rate: 12, MeanCost: 10 * time.Millisecond, Size: 16 << 10, Deadline: 3 * time.Second},
	{Service: "returns", Rate: 4, WriteShare: 0.5, MeanCost: 25 * time.Millisecond, Size: 512, Deadline: 5 * time.Second},
}

// Generator generates a trace from random numbers. The same seed gives the same trace.
type Generator func(rng *rand.Rand) []Line

// Generators maps the names of traces to their generators.
var Generators = map[string]Generator{
	"demo":       generateDemo,
	"quiet":      generateQuiet,
	"storeDown":  generateStoreDown,
	"freeze":     generatePause,
	"regionLost": generateRegionFailure,
	"queryDeath": generateCrashingRequest,
	"lens":       generateLens,
	"routes":     generateRoutes,
}

func fault(at time.Duration, kind FaultKind, target string) Line {
	return Line{At: int(at.Milliseconds()), Fault: &Fault{Kind: kind, Target: target}}
}

func atMost(measure, service string, limit float64) Line {
	return Line{Outcome: &Outcome{Measure: measure, Service: service, Max: &limit}}
}

func atLeast(measure, service string, limit float64) Line {
	return Line{Outcome: &Outcome{Measure: measure, Service: service, Min: &limit}}
}

// commonOutcomes returns the outcomes that are expected in every trace.
func commonOutcomes() []Line {
	return []Line{
		atMost("doubledOperations", "", 0),
		atMost("falseNotRun", "", 0),
		atMost("wrongAnswers", "", 0),
		atMost("lostOperations", "", 0),
		atMost("slotPeak", "", 3),
	}
}

// generateDemo drains a server, kills another one and the keeper of a cell, and stops
// a host gracefully.
func generateDemo(rng *rand.Rand) []Line {
	const length = 18 * time.Second
	return Merge(commonOutcomes(),
		[]Line{
			fault(2*time.Second, FaultDrain, "montevideo-inventory-1"),
			fault(4*time.Second, FaultKill, "litoral-care-2"),
			fault(5*time.Second, FaultKillKeeper, "norte/inventory"),
			fault(9*time.Second, FaultStop, "litoral-b-1"),
			atMost("drainLagMs", "", 2000),
			atMost("cutByStop", "", 0),
			// A killed keeper is replaced within 10 s. In the worst case one region of
			// three has no keeper from the kill at 5 s until 15 s, of 18 s in all:
			// 1 - 10/18/3, rounded up.
			atMost("recoveryMs", "", 10_000),
			atLeast("answeredShare", "", 0.82),
		},
		GenerateRequests(rng, pallRegions, pallLoads, length))
}

// generateQuiet has no faults: every request is answered.
func generateQuiet(rng *rand.Rand) []Line {
	return Merge(commonOutcomes(),
		[]Line{atLeast("answeredShare", "", 1)},
		GenerateRequests(rng, pallRegions, pallLoads, 10*time.Second))
}

// generateStoreDown makes the platform unavailable for 14 s.
func generateStoreDown(rng *rand.Rand) []Line {
	return Merge(commonOutcomes(),
		[]Line{
			fault(2*time.Second, FaultStoreDown, ""),
			fault(16*time.Second, FaultStoreUp, ""),
			atLeast("answeredShare", "inventory", 0.999),
			atLeast("answeredShare", "care", 0.999),
		},
		GenerateRequests(rng, pallRegions, pallLoads, 20*time.Second))
}

// generatePause pauses the keeper of a cell for 10 s.
func generatePause(rng *rand.Rand) []Line {
	return Merge(commonOutcomes(),
		[]Line{
			fault(2*time.Second, FaultPauseKeeper, "montevideo/reservations"),
			fault(12*time.Second, FaultResumeKeeper, "montevideo/reservations"),
			atLeast("answeredShare", "", 0.8),
		},
		GenerateRequests(rng, pallRegions, pallLoads, 16*time.Second))
}

// generateRegionFailure kills all processes of a region. The requests that are shifted to
// other regions must stay within their cap.
func generateRegionFailure(rng *rand.Rand) []Line {
	return Merge(commonOutcomes(),
		[]Line{
			fault(3*time.Second, FaultKillRegion, "norte"),
			atMost("shiftExcess", "", 0),
		},
		GenerateRequests(rng, pallRegions, pallLoads, 16*time.Second))
}

// generateCrashingRequest sends ten times a crashing request, also known as a query of
// death: one that crashes every server that runs it. At most two runs may crash a
// server, and every request to the inventory is answered.
func generateCrashingRequest(rng *rand.Rand) []Line {
	var crashing []Line
	for i := range 10 {
		at := 2*time.Second + time.Duration(i)*700*time.Millisecond
		crashing = append(crashing, Line{At: int(at.Milliseconds()), Request: &Request{
			Region: pallRegions[i%len(pallRegions)], Service: "care", Method: "GET",
			Path: "/crash", CostMs: 5, Size: 100, DeadlineMs: 2000,
		}})
	}
	return Merge(commonOutcomes(),
		[]Line{atMost("crashes", "", 2), atLeast("answeredShare", "inventory", 1)},
		crashing,
		GenerateRequests(rng, pallRegions, pallLoads, 12*time.Second))
}

// lensRegions are the regions of the small lens deployment.
var lensRegions = []string{"lowlands", "highlands", "borders"}

// generateLens overloads the catalogue and transfers large stock histories while
// members make bookings. The catalogue's capacity in a region is that of two servers
// with three slots at 20 ms a request; the load offered in each region is 3/2 of it.
func generateLens(rng *rand.Rand) []Line {
	const capacity = 2 * 3 / 0.020
	loads := []Load{
		{Service: "catalogue", Rate: 3 * capacity / 2, MeanCost: 20 * time.Millisecond, Size: 2 << 10, Deadline: time.Second},
		{Service: "bookings", Rate: 8, WriteShare: 0.6, MeanCost: 25 * time.Millisecond, Size: 512, Deadline: 5 * time.Second},
		{Service: "history", Rate: 1, MeanCost: 80 * time.Millisecond, Size: 1 << 20, Deadline: 20 * time.Second},
		{Service: "checkin", Rate: 4, WriteShare: 0.6, MeanCost: 25 * time.Millisecond, Size: 512, Deadline: 5 * time.Second},
	}
	return Merge(commonOutcomes(),
		[]Line{atLeast("answeredShare", "bookings", 0.999), atLeast("answeredShare", "checkin", 0.999)},
		GenerateRequests(rng, lensRegions, loads, 8*time.Second))
}

// routesHost is the host name of the pall deployment's routes.
const routesHost = "cloths.example"

// generateRoutes sends requests through routes: with affinity to few objects, on a
// route that only one region may serve, and on a route that is split over two
// services. The requests to returns name their service and use no route.
func generateRoutes(rng *rand.Rand) []Line {
	const length = 12 * time.Second
	routed := func(prefix string, l Load, objects int, allowed ...string) []Line {
		lines := GenerateRequests(rng, pallRegions, []Load{l}, length)
		for i := range lines {
			r := lines[i].Request
			r.Host, r.Path, r.Allowed = routesHost, prefix+r.Path, allowed
			if objects > 0 {
				r.Object = fmt.Sprintf("cloth-%d", rng.IntN(objects))
			}
		}
		return lines
	}
	return Merge(commonOutcomes(),
		[]Line{
			fault(4*time.Second, FaultDrain, "montevideo-inventory-1"),
			atMost("drainLagMs", "", 2000),
			// The two servers of a cell have six slots for less than one concurrent
			// request, so that nearly every request finds a free slot on the server
			// of its object.
			atMost("objectMoves", "inventory", 0.1),
			atMost("outsideRegions", "", 0),
			// Three quarters of the trial's requests are routed to the inventory.
			atLeast("mainServiceShare", "trial", 0.7),
			atMost("mainServiceShare", "trial", 0.8),
			atLeast("answeredShare", "inventory", 0.999),
		},
		routed("", Load{Service: "inventory", Rate: 12, MeanCost: 15 * time.Millisecond, Size: 4 << 10, Deadline: 3 * time.Second}, 20),
		routed("/notes", Load{Service: "care", Rate: 6, MeanCost: 10 * time.Millisecond, Size: 8 << 10, Deadline: 3 * time.Second}, 20, "litoral"),
		routed("/trial", Load{Service: "trial", Rate: 6, MeanCost: 10 * time.Millisecond, Size: 1 << 10, Deadline: 2 * time.Second}, 0),
		GenerateRequests(rng, pallRegions, pallLoads[3:], length))
}
