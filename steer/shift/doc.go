// Package shift decides in which region a request is served.
//
// # Plans
//
// A request belongs to its caller's home region. [Decide] returns a [Plan]: the
// capacity cells that may serve it, best first, and for each the budgets that
// must be spent before it is sent there. The keeper of a cell has the last
// word: its refusal is a proof that nothing ran, so the next option may be tried.
//
// # Causes
//
// Traffic leaves its home for one of four causes. A move and a region's drain
// are planned: what is over their caps stays at home. A failure is not: what is
// over its cap is refused. Overflow leaves a home that refused the request, and
// counts against the same cap as a failure.
//
// # Paces
//
// A planned shift grows in steps. The keeper of its cap runs a [Stepper] and
// tells the present share with its grants, so that all hosts agree.
package shift
